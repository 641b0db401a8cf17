#include "client.h"

namespace review {

ClientResult sendRequest(Record &record, const std::string &ip, const std::string &method,
                         const std::string &path, const std::string &id, const std::string &fields,
                         const std::string &body, Milliseconds timeout, const ConnectionPointer &kept)
{
    constexpr Milliseconds ConnectTimeout{1000};
    ClientResult result;
    const ConnectionPointer connection = kept ? kept : Connection::connect(ip, CallerPort, ConnectTimeout);
    if (!connection) {
        record.add("client cannot connect for " + id);
        return result;
    }
    record.add("client sends " + id + " " + method + " " + path);
    std::string head = method + " " + path + " HTTP/1.1\r\nHost: " + Host + "\r\nX-Attempt-Id: " + id +
                       "\r\nX-Api-Key: " + ApiKey + "\r\n" + fields;
    if (method != "GET")
        head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    connection->send(head + "\r\n" + body);
    const auto answer = connection->receive(true, timeout);
    if (answer) {
        result.status = answer->status();
        result.isComplete = answer->isComplete;
        result.body = answer->body;
        result.fields = answer->fields;
    }
    record.add("client gets " + std::to_string(result.status) + " for " + id +
               (result.isComplete ? ", whole, " : ", not whole, ") + std::to_string(result.body.size()) +
               " bytes");
    return result;
}

std::string generationFields(const std::string &id, int promptTokens, int outputTokens)
{
    return "X-Model: m\r\nX-Token-Usage: " + std::to_string(promptTokens) + "," +
           std::to_string(outputTokens) + "\r\nX-Length-Hint: " + std::to_string(outputTokens) +
           "\r\nX-Prompt-Prefix: a1:48," + std::to_string(1000 + std::hash<std::string>{}(id) % 100000) +
           ":32\r\n";
}

std::string configuration(int version, const std::string &engineExtra)
{
    const std::string host = std::string(R"("host":")") + Host + "\"";
    const auto route = [&](const std::string &name, const std::string &rest) {
        return R"({"name":")" + name + "\"," + host + R"(,"path_prefix":"/)" + name + R"(/",)" + rest + "}";
    };
    const std::string model = std::string(R"("service":")") + ModelService + "\"";
    const std::string plain = std::string(R"("service":")") + PlainService + "\"";
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" +
           route("summary",
                 R"("kind":"streaming","timeout_ms":39000,"slo_ms":1800,"priority":1,"max_attempts":1,"public":false,"session_affinity":true,"stream_resume":false,"gap_slo_ms":180,)" +
                         model) +
           "," +
           route("label",
                 R"("kind":"streaming","timeout_ms":6000,"slo_ms":1500,"priority":0,"max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"gap_slo_ms":180,)" +
                         model) +
           "," +
           route("confirm",
                 R"("kind":"unsafe","timeout_ms":1500,"slo_ms":150,"priority":2,"max_attempts":1,"public":false,)" +
                         plain) +
           "," +
           route("lookup",
                 R"("kind":"safe","timeout_ms":1500,"slo_ms":150,"priority":2,"max_attempts":2,"public":false,)" +
                         plain) +
           R"(],"services":[{"name":")" + ModelService +
           R"(","health_path":"/health","max_conns":442,"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity_tokens":34364,"kv_token_bytes":262144,"link_mbps":38000.0,"moves":true,"backups":true,"stride":4,"most":12,"pin_ms":4000.0,"hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"m"}])" +
           engineExtra + R"(}},{"name":")" + PlainService +
           R"(","health_path":"/health","max_conns":110,"protocol":"h1","tls":false}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"club","api_keys":[")" +
           ApiKey + R"("],"priority":1}]})";
}

} // namespace review
