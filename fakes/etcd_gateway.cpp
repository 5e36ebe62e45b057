#include "etcd_gateway.hpp"

#include "celerystile/store/base64.hpp"

#include <boost/json.hpp>

namespace celerystile::fakes {

namespace json = boost::json;

namespace {

    std::string decode(std::string_view text) { return store::fromBase64(text).value_or(""); }

    std::string field(const json::object& object, std::string_view key)
    {
        const auto* value = object.if_contains(key);
        return value && value->is_string() ? std::string(value->get_string()) : "";
    }

} // namespace

EtcdGateway::EtcdGateway(const base::Clock& clock)
    : clock_(clock)
{
}

base::HttpReply EtcdGateway::handle(const std::string& path, const std::string& body)
{
    const bool read = path == "/v3/kv/range";
    ++(read ? calls_.reads : calls_.writes);
    if (faults_.down)
        return { 503, R"({"error":"down"})" };
    expireLeases();
    if (read)
        return { 200, range(body) };
    if (path == "/v3/lease/grant")
        return { 200, grant(body) };
    if (path == "/v3/lease/keepalive")
        return { 200, keepAlive(body) };
    if (path != "/v3/kv/txn")
        return { 404, R"({"error":"not in the subset"})" };
    auto answer = transact(body);
    if (faults_.responsesToLose > 0) {
        --faults_.responsesToLose;
        return { 504, R"({"error":"answer lost"})" };
    }
    return { 200, std::move(answer) };
}

void EtcdGateway::backup() { saved_ = entries_; }

void EtcdGateway::restore()
{
    entries_ = saved_;
    ++revision_;
}

std::string EtcdGateway::range(const std::string& body)
{
    const auto request = json::parse(body).as_object();
    const auto key = decode(field(request, "key"));
    const auto end = decode(field(request, "range_end"));
    json::array kvs;
    for (auto entry = entries_.lower_bound(key); entry != entries_.end(); ++entry) {
        if (end.empty() ? entry->first != key : entry->first >= end)
            break;
        kvs.push_back({ { "key", store::toBase64(entry->first) }, { "value", entry->second.value },
            { "create_revision", std::to_string(entry->second.createRevision) },
            { "mod_revision", std::to_string(entry->second.modRevision) } });
    }
    json::object answer;
    answer["header"] = { { "revision", std::to_string(revision_) } };
    answer["count"] = std::to_string(kvs.size());
    if (!kvs.empty())
        answer["kvs"] = std::move(kvs);
    return json::serialize(answer);
}

std::string EtcdGateway::transact(const std::string& body)
{
    const auto request = json::parse(body).as_object();
    bool holds = true;
    for (const auto& item : request.at("compare").as_array()) {
        const auto& compare = item.as_object();
        const auto entry = entries_.find(decode(field(compare, "key")));
        const bool exists = entry != entries_.end();
        const bool create = field(compare, "target") == "CREATE";
        const auto wanted = field(compare, create ? "create_revision" : "mod_revision");
        const auto actual = exists ? (create ? entry->second.createRevision : entry->second.modRevision) : 0;
        holds = holds && wanted == std::to_string(actual);
    }
    if (holds) {
        ++revision_;
        for (const auto& item : request.at("success").as_array()) {
            const auto& put = item.as_object().at("requestPut").as_object();
            auto& entry = entries_[decode(field(put, "key"))];
            if (entry.createRevision == 0)
                entry.createRevision = revision_;
            entry.modRevision = revision_;
            entry.value = field(put, "value");
            entry.lease = field(put, "lease");
        }
    }
    json::object answer;
    answer["header"] = { { "revision", std::to_string(revision_) } };
    if (holds) // the gateway omits fields that are false
        answer["succeeded"] = true;
    return json::serialize(answer);
}

std::string EtcdGateway::grant(const std::string& body)
{
    const auto seconds = std::stol(field(json::parse(body).as_object(), "TTL"));
    const auto id = std::to_string(nextLease_++);
    const base::Duration lifetime = std::chrono::seconds(seconds);
    leases_[id] = { clock_.now() + lifetime, lifetime };
    return json::serialize(json::object { { "ID", id }, { "TTL", std::to_string(seconds) } });
}

std::string EtcdGateway::keepAlive(const std::string& body)
{
    const auto id = field(json::parse(body).as_object(), "ID");
    json::object result { { "ID", id } };
    if (const auto lease = leases_.find(id); lease != leases_.end()) {
        lease->second.expiresAt = clock_.now() + lease->second.lifetime;
        result["TTL"]
            = std::to_string(std::chrono::duration_cast<std::chrono::seconds>(lease->second.lifetime).count());
    }
    return json::serialize(json::object { { "result", result } });
}

void EtcdGateway::expireLeases()
{
    const auto now = clock_.now();
    std::erase_if(leases_, [&](const auto& lease) { return lease.second.expiresAt <= now; });
    std::erase_if(entries_,
        [&](const auto& entry) { return !entry.second.lease.empty() && !leases_.contains(entry.second.lease); });
}

} // namespace celerystile::fakes
