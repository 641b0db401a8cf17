#include "socketinode.h"

#include <arpa/inet.h>
#include <linux/inet_diag.h>
#include <linux/netlink.h>
#include <linux/sock_diag.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <cstring>
#include <fstream>
#include <optional>
#include <sstream>

namespace eelgrasslift::scenario {

namespace {

/// Netlink socket that queries the kernel about single TCP connections (sock_diag).
class DiagnosticSocket
{
public:
    DiagnosticSocket()
        : descriptor(::socket(AF_NETLINK, SOCK_DGRAM | SOCK_CLOEXEC, NETLINK_SOCK_DIAG))
    {}
    ~DiagnosticSocket()
    {
        if (this->isOpen())
            ::close(this->descriptor);
    }
    DiagnosticSocket(const DiagnosticSocket &) = delete;
    DiagnosticSocket &operator=(const DiagnosticSocket &) = delete;

    bool isOpen() const { return this->descriptor >= 0; }

    /// Inode of the connection's socket; empty if there is no such connection, nullopt if the query failed,
    /// for example because the kernel does not support sock_diag.
    std::optional<std::string> queryInode(uint16_t localPort, uint16_t remotePort) const
    {
        struct
        {
            nlmsghdr header{};
            inet_diag_req_v2 body{};
        } request;
        request.header.nlmsg_len = sizeof request;
        request.header.nlmsg_type = SOCK_DIAG_BY_FAMILY;
        request.header.nlmsg_flags = NLM_F_REQUEST;
        request.body.sdiag_family = AF_INET;
        request.body.sdiag_protocol = IPPROTO_TCP;
        request.body.idiag_states = ~0U;
        request.body.id.idiag_sport = htons(localPort);
        request.body.id.idiag_dport = htons(remotePort);
        request.body.id.idiag_src[0] = htonl(INADDR_LOOPBACK);
        request.body.id.idiag_dst[0] = htonl(INADDR_LOOPBACK);
        request.body.id.idiag_cookie[0] = INET_DIAG_NOCOOKIE;
        request.body.id.idiag_cookie[1] = INET_DIAG_NOCOOKIE;
        if (::send(this->descriptor, &request, sizeof request, 0) != sizeof request)
            return std::nullopt;
        std::array<char, 8192> reply{};
        const ssize_t size = ::recv(this->descriptor, reply.data(), reply.size(), 0);
        if (size < static_cast<ssize_t>(sizeof(nlmsghdr)))
            return std::nullopt;
        nlmsghdr header{};
        std::memcpy(&header, reply.data(), sizeof header);
        if (header.nlmsg_type == NLMSG_ERROR) {
            nlmsgerr error{};
            std::memcpy(&error, reply.data() + NLMSG_HDRLEN, sizeof error);
            return error.error == -ENOENT ? std::optional<std::string>(std::string()) : std::nullopt;
        }
        inet_diag_msg connection{};
        std::memcpy(&connection, reply.data() + NLMSG_HDRLEN, sizeof connection);
        return connection.idiag_inode == 0 ? std::string() : std::to_string(connection.idiag_inode);
    }

private:
    int descriptor;
};

/// Inode from the kernel's table of IPv4 connections, for kernels without sock_diag; empty if there is none.
std::string inodeFromTable(uint16_t localPort)
{
    std::ifstream table("/proc/net/tcp");
    std::string line;
    std::getline(table, line);
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::string slot, local, remote, state, queues, timer, retransmits, uid, timeout, inode;
        fields >> slot >> local >> remote >> state >> queues >> timer >> retransmits >> uid >> timeout >>
                inode;
        const unsigned long port = std::strtoul(local.substr(local.find(':') + 1).c_str(), nullptr, 16);
        if (port == localPort && state != "0A" && inode != "0")
            return inode;
    }
    return {};
}

} // namespace

std::string inodeOfConnection(uint16_t localPort, uint16_t remotePort)
{
    static const DiagnosticSocket diagnostics;
    if (diagnostics.isOpen()) {
        if (auto inode = diagnostics.queryInode(localPort, remotePort))
            return std::move(*inode);
    }
    return inodeFromTable(localPort);
}

} // namespace eelgrasslift::scenario
