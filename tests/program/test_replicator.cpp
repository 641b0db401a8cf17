#include "eelgrasslift/replicator.h"

#include "eelgrasslift/consensuscodec.h"
#include "eelgrasslift/consensuspeers.h"

#include <boost/asio/ip/tcp.hpp>
#include <catch2/catch.hpp>
#include <grpcpp/grpcpp.h>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

#include <optional>
#include <set>

using namespace eelgrasslift;
using namespace std::chrono_literals;

namespace {

// More than the default size limit of a gRPC message.
constexpr size_t LargestCommand = size_t{5} << 20;

/// State machine that stores the applied commands.
class CommandList : public ReplicatedState
{
public:
    void apply(LogIndex, std::string_view command) override { this->commands.emplace_back(command); }

    std::string takeSnapshot() override
    {
        std::string text;
        for (const std::string &command : this->commands)
            text += command + '\n';
        return text;
    }

    void installSnapshot(std::string_view data) override
    {
        this->commands.clear();
        ++this->installedSnapshots;
        while (!data.empty()) {
            const size_t end = data.find('\n');
            this->commands.emplace_back(data.substr(0, end));
            data.remove_prefix(end + 1);
        }
    }

    std::vector<std::string> commands;
    int installedSnapshots = 0;
};

/// A loopback port assigned by the kernel. The socket never listens; it reserves the port, which gRPC shares
/// through SO_REUSEPORT, so that a member can restart at the same address.
class ReservedPort
{
public:
    ReservedPort()
        : descriptor(::socket(AF_INET, SOCK_STREAM, 0))
    {
        const int enabled = 1;
        ::setsockopt(this->descriptor, SOL_SOCKET, SO_REUSEPORT, &enabled, sizeof enabled);
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof name;
        REQUIRE(::bind(this->descriptor, reinterpret_cast<sockaddr *>(&name), length) == 0);
        ::getsockname(this->descriptor, reinterpret_cast<sockaddr *>(&name), &length);
        this->address = "127.0.0.1:" + std::to_string(ntohs(name.sin_port));
    }
    ~ReservedPort() { ::close(this->descriptor); }

    std::string address;

private:
    int descriptor;
};

std::filesystem::path makeFolder()
{
    std::string pattern = (std::filesystem::temp_directory_path() / "eelgrasslift-XXXXXX").string();
    return mkdtemp(pattern.data());
}

/// A replicator with its gRPC server in a temporary folder; it can be stopped and restarted.
class Member
{
public:
    explicit Member(boost::asio::io_context &io)
        : io(io)
    {}
    ~Member()
    {
        this->stop();
        std::filesystem::remove_all(this->folder);
    }

    void start(std::vector<std::string> joinAddresses)
    {
        ReplicatorSettings settings;
        settings.dataFolder = this->folder / "data";
        settings.address = this->port.address;
        settings.joinAddresses = std::move(joinAddresses);
        settings.raft.snapshotEntries = 20;
        settings.raft.retainedEntries = 2;
        settings.raft.snapshotChunkBytes = 64;
        settings.raft.maxCommandBytes = LargestCommand;
        this->state = CommandList{};
        auto opened = Replicator::open(this->io, this->state, settings);
        if (const auto *error = std::get_if<StorageError>(&opened))
            FAIL(describe(*error));
        this->replicator = std::move(std::get<std::unique_ptr<Replicator>>(opened));
        grpc::ServerBuilder builder;
        int bound = 0;
        builder.AddListeningPort(this->port.address, grpc::InsecureServerCredentials(), &bound);
        this->replicator->addService(builder);
        this->server = builder.BuildAndStart();
        REQUIRE(bound != 0);
        this->replicator->start();
    }

    void stop()
    {
        if (!this->replicator)
            return;
        this->replicator->stop();
        this->server->Shutdown(std::chrono::system_clock::now());
        this->server.reset();
        this->replicator.reset();
    }

    void stopAndEraseData()
    {
        this->stop();
        std::filesystem::remove_all(this->folder / "data");
    }

    bool isLeader() const { return this->replicator && this->replicator->status().hasLease; }

    boost::asio::io_context &io;
    ReservedPort port;
    std::filesystem::path folder = makeFolder();
    CommandList state;
    std::unique_ptr<Replicator> replicator;
    std::unique_ptr<grpc::Server> server;
};

/// Three members in one event loop, and the commands that were committed.
class Cluster
{
public:
    Cluster()
    {
        for (auto &member : this->members)
            member = std::make_unique<Member>(this->io);
        Random random{7};
        const auto identity =
                initialiseCluster(this->members[0]->folder / "data", this->members[0]->port.address, random);
        REQUIRE(std::holds_alternative<Identity>(identity));
        for (const auto &member : this->members)
            member->start(this->addresses());
        this->waitFor([this] { return this->hasVoters(3); });
    }

    std::vector<std::string> addresses() const
    {
        std::vector<std::string> result;
        for (const auto &member : this->members)
            result.push_back(member->port.address);
        return result;
    }

    /// Runs the event loop until the condition holds; fails after 20 seconds.
    void waitFor(const std::function<bool()> &condition)
    {
        const auto deadline = std::chrono::steady_clock::now() + 20s;
        while (!condition()) {
            REQUIRE(std::chrono::steady_clock::now() < deadline);
            this->io.run_one_for(20ms);
        }
    }

    Member *leader() const
    {
        for (const auto &member : this->members) {
            if (member->isLeader())
                return member.get();
        }
        return nullptr;
    }

    /// Whether the leader reports exactly count members, all of them voters.
    bool hasVoters(size_t count) const
    {
        const Member *leaderMember = this->leader();
        if (leaderMember == nullptr)
            return false;
        const RaftStatus status = leaderMember->replicator->status();
        const auto isVoter = [](const RaftMemberStatus &member) { return member.isVoter; };
        return status.members.size() == count && status.membershipIndex <= status.commitIndex &&
               std::all_of(status.members.begin(), status.members.end(), isVoter);
    }

    /// Proposes until a leader accepts; an unknown outcome fails the test.
    void commit(const std::string &command)
    {
        std::optional<Result<LogIndex, ProposalError>> outcome;
        const auto attempt = [&] {
            this->waitFor([this] { return this->leader() != nullptr; });
            outcome.reset();
            this->leader()->replicator->propose(command, [&](const auto &result) { outcome = result; });
            this->waitFor([&] { return outcome.has_value(); });
        };
        attempt();
        while (std::holds_alternative<ProposalError>(*outcome)) {
            REQUIRE(std::get<ProposalError>(*outcome).kind != raft::RequestErrorKind::OutcomeUnknown);
            attempt();
        }
        this->expected.push_back(command);
    }

    void checkAllApplied()
    {
        for (const auto &member : this->members) {
            if (member->replicator)
                this->waitFor([&] { return member->state.commands == this->expected; });
        }
    }

    boost::asio::io_context io;
    std::array<std::unique_ptr<Member>, 3> members;
    std::vector<std::string> expected;
};

} // namespace

// Guards against losing acknowledged commands when the leader stops, and against a cluster that cannot commit
// without it.
TEST_CASE("Three replicators continue to commit after the leader stops and after it rejoins")
{
    Cluster cluster;
    for (int i = 0; i < 30; ++i)
        cluster.commit("before-" + std::to_string(i));
    cluster.checkAllApplied();

    Member &stopped = *cluster.leader();
    stopped.stop();
    for (int i = 0; i < 30; ++i)
        cluster.commit("after-" + std::to_string(i));
    cluster.checkAllApplied();

    stopped.start(cluster.addresses());
    cluster.checkAllApplied();
    CHECK(stopped.state.installedSnapshots > 0);
}

// Guards against completing the replacement of a member before the new one stores all acknowledged commands:
// the loss of a second member would then lose them.
TEST_CASE("Commands survive the loss of a second member right after the first was replaced")
{
    Cluster cluster;
    for (int i = 0; i < 25; ++i)
        cluster.commit("first-" + std::to_string(i));
    Member &replaced = *cluster.members[1];
    const MemberId oldId = replaced.replicator->status().identity.memberId;
    replaced.stopAndEraseData();
    replaced.start(cluster.addresses());
    const MemberId newId = replaced.replicator->status().identity.memberId;
    CHECK(newId != oldId);
    cluster.waitFor([&] {
        const Member *leader = cluster.leader();
        const auto isMember = [&](MemberId id) {
            const auto members = leader->replicator->status().members;
            return std::any_of(members.begin(), members.end(),
                               [id](const auto &member) { return member.id == id; });
        };
        return leader != nullptr && cluster.hasVoters(3) && isMember(newId) && !isMember(oldId);
    });
    Member &second = *cluster.members[cluster.members[0]->isLeader() ? 0 : 2];
    second.stopAndEraseData();
    cluster.commit("second");
    cluster.checkAllApplied();
}

// Guards against a command that no other member receives, so that all later ones wait behind it (review, case
// 5).
TEST_CASE("The largest command and those after it are committed")
{
    Cluster cluster;
    cluster.commit("before");
    cluster.commit(std::string(LargestCommand, 'x'));
    cluster.commit("after");
    cluster.checkAllApplied();
}

// Guards against requests accepted by a member that is not the leader, and against callbacks that never run.
TEST_CASE("Failed requests return typed errors and stop ends all open requests")
{
    Cluster cluster;
    Member &leader = *cluster.leader();
    Member &follower = *cluster.members[cluster.members[0].get() == &leader ? 1 : 0];
    std::vector<raft::RequestErrorKind> errors;
    const auto record = [&](const auto &result) { errors.push_back(std::get<ProposalError>(result).kind); };
    cluster.waitFor([&] { return follower.replicator->leaderAddress() == leader.port.address; });
    follower.replicator->propose("x", record);
    follower.replicator->confirmLeadership(record);
    leader.replicator->removeMember(12345, record);
    leader.replicator->removeMember(leader.replicator->status().identity.memberId, record);
    leader.replicator->promote(follower.replicator->status().identity.memberId, record);
    using enum raft::RequestErrorKind;
    CHECK(errors ==
          std::vector<raft::RequestErrorKind>{NotLeader, NotLeader, UnknownMember, IsLeader, AlreadyMember});

    errors.clear();
    bool isConfirmed = false;
    leader.replicator->confirmLeadership(
            [&](const auto &result) { isConfirmed = std::holds_alternative<LogIndex>(result); });
    CHECK(isConfirmed);
    leader.replicator->propose("unanswered", record);
    leader.replicator->stop();
    leader.replicator->propose("too late", record);
    CHECK(errors == std::vector<raft::RequestErrorKind>{ShutDown, ShutDown});
}

// Guards against a leadership transfer that waits for an election timeout or reports the wrong outcome.
TEST_CASE("Leadership is transferred to the chosen member")
{
    Cluster cluster;
    Member &target = *cluster.members[cluster.members[2]->isLeader() ? 1 : 2];
    bool isTransferred = false;
    cluster.leader()->replicator->transferLeadership(
            target.replicator->status().identity.memberId,
            [&](const auto &result) { isTransferred = std::holds_alternative<LogIndex>(result); });
    cluster.waitFor([&] { return isTransferred && target.isLeader(); });
    cluster.commit("after the transfer");
    cluster.checkAllApplied();
}

// Guards against a member that starts without data, and against accepting entries of another cluster.
TEST_CASE("A missing data folder is an error and messages of another cluster are dropped")
{
    Cluster cluster;
    CommandList state;
    ReplicatorSettings settings;
    settings.dataFolder = cluster.members[0]->folder / "missing";
    settings.address = "127.0.0.1:1";
    const auto empty = Replicator::open(cluster.io, state, settings);
    REQUIRE(std::holds_alternative<StorageError>(empty));
    CHECK(std::get<StorageError>(empty).kind == StorageErrorKind::FolderMissing);

    Member &leader = *cluster.leader();
    const RaftStatus before = leader.replicator->status();
    const auto executor = std::make_shared<ClosableExecutor>(cluster.io);
    const auto peers = std::make_shared<ConsensusPeers>(executor, 1s, 1);
    const raft::AppendRequest forged{before.term + 5, 0, 0, 0, {}, {}};
    peers->send(leader.port.address,
                raft::Envelope{ClusterId{9}, 77, before.identity.memberId, "127.0.0.1:1", forged});
    cluster.waitFor([&] { return leader.replicator->status().foreignMessages > before.foreignMessages; });
    CHECK(leader.replicator->status().term == before.term);
    CHECK(cluster.hasVoters(3));
    executor->close();
}

// Guards against a call that outlives its client: if gRPC's own thread drops the last channel, it waits for
// itself to end and goes on with freed memory.
TEST_CASE("The calls of a consensus client have ended when it is destroyed")
{
    const size_t callCount = GENERATE(1U, 3U);
    boost::asio::io_context io;
    // Connections are established and never served.
    const boost::asio::ip::tcp::acceptor silentMember(io, {boost::asio::ip::address_v4::loopback(), 0});
    const std::string address = "127.0.0.1:" + std::to_string(silentMember.local_endpoint().port());
    const auto executor = std::make_shared<ClosableExecutor>(io);
    auto peers = std::make_shared<ConsensusPeers>(executor, 60s, callCount);
    for (size_t i = 0; i < callCount; ++i)
        peers->send(address, raft::Envelope{ClusterId{1}, 2, 3, "127.0.0.1:1", raft::JoinRequest{}});
    peers.reset();
    // Each call posts its result when it ends.
    CHECK(io.poll() == callCount);
    executor->close();
}

// Guards against fields that are lost or swapped in the conversion to protobuf.
TEST_CASE("Every consensus message is unchanged after encoding and decoding")
{
    const TimePoint time{5s};
    const Membership members{{1, {"10.0.0.1:7000", true}}, {2, {"10.0.0.2:7000", false}}};
    const auto message = GENERATE_COPY(values<raft::Message>(
            {raft::PreVoteRequest{1, 2, 3, 4}, raft::PreVoteReply{1, true},
             raft::VoteRequest{1, 2, 3, 4, true}, raft::VoteReply{1, true},
             raft::AppendRequest{
                     1,
                     4,
                     3,
                     2,
                     time,
                     {{5, 1, EntryKind::Command, std::string("a\0b", 3)}, {6, 1, EntryKind::NoOp, ""}}},
             raft::AppendReply{1, true, 2, 3, time},
             raft::SnapshotChunk{1, 2, 3, 4, members, 5, 6, "data", time}, raft::SnapshotReply{1, 2, 3, time},
             raft::TimeoutNow{1}, raft::JoinRequest{},
             raft::JoinReply{raft::JoinStatus::NotLeader, "10.0.0.1:7000"}}));
    const raft::Envelope envelope{ClusterId{1, 2}, 3, 4, "10.0.0.3:7000", message};
    const std::string sent = toWire(envelope).SerializeAsString();
    wire::ConsensusEnvelope parsed;
    REQUIRE(parsed.ParseFromString(sent));
    const auto received = fromWire(parsed);
    REQUIRE(received);
    CHECK(received->message.index() == message.index());
    CHECK(toWire(*received).SerializeAsString() == sent);
    CHECK_FALSE(fromWire(wire::ConsensusEnvelope{}));
}
