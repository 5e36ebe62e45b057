#include "celerystile/store/etcd_client.hpp"

#include "celerystile/store/base64.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>
#include <charconv>

namespace celerystile::store {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    using base::ErrorCode;
    using base::failure;

    constexpr const char* textKey = "celerystile/text";
    constexpr const char* historyPrefix = "celerystile/history/";
    constexpr const char* entryPrefix = "celerystile/entry/";
    constexpr const char* leaseSeconds = "15";
    constexpr int generationDigits = 12; // zero-padded, so that keys of the history sort by generation

    std::string prefixEnd(std::string prefix)
    {
        ++prefix.back();
        return prefix;
    }

    std::string historyKey(core::Generation generation)
    {
        auto digits = std::to_string(generation);
        if (digits.size() < generationDigits)
            digits.insert(0, generationDigits - digits.size(), '0');
        return historyPrefix + digits;
    }

    std::string stringField(const json::object& object, std::string_view key)
    {
        const auto* value = object.if_contains(key);
        return value && value->is_string() ? std::string(value->get_string()) : "";
    }

    /// The gateway encodes 64-bit numbers as JSON strings.
    std::int64_t numberField(const json::object& object, std::string_view key)
    {
        const auto text = stringField(object, key);
        std::int64_t number = 0;
        std::from_chars(text.data(), text.data() + text.size(), number);
        return number;
    }

    std::string serializeRecord(const Record& record)
    {
        return json::serialize(
            json::object { { "generation", std::to_string(record.generation) }, { "submission", record.submission },
                { "author", record.author }, { "time", record.time }, { "text", record.text } });
    }

    base::Result<Record> parseRecord(const json::object& entry)
    {
        const auto bytes = fromBase64(stringField(entry, "value"));
        if (!bytes)
            return tl::make_unexpected(bytes.error());
        boost::system::error_code error;
        const auto value = json::parse(*bytes, error);
        if (error || !value.is_object())
            return failure(ErrorCode::Malformed, "the record is not a JSON object");
        const auto& object = value.get_object();
        Record record { static_cast<core::Generation>(numberField(object, "generation")),
            stringField(object, "submission"), stringField(object, "author"), stringField(object, "time"),
            stringField(object, "text") };
        if (record.generation == 0 || record.submission.empty())
            return failure(ErrorCode::Malformed, "the record has no generation or submission");
        return record;
    }

    json::object compareEqual(const std::string& key, const char* target, const char* field, std::int64_t revision)
    {
        json::object compare;
        compare["key"] = toBase64(key);
        compare["target"] = target;
        compare["result"] = "EQUAL";
        compare[field] = std::to_string(revision);
        return compare;
    }

    json::value transaction(json::object compare, json::array writes)
    {
        json::object body;
        body["compare"] = json::array(1, std::move(compare));
        body["success"] = std::move(writes);
        return body;
    }

    json::value singleField(const char* name, const std::string& value)
    {
        json::object body;
        body[name] = value;
        return body;
    }

    bool succeeded(const json::value& answer)
    {
        const auto* value = answer.get_object().if_contains("succeeded");
        return value && value->is_bool() && value->get_bool();
    }

    json::object putRequest(const std::string& key, const std::string& value, const std::string& lease = "")
    {
        json::object put { { "key", toBase64(key) }, { "value", toBase64(value) } };
        if (!lease.empty())
            put["lease"] = lease;
        return { { "requestPut", put } };
    }

} // namespace

EtcdClient::EtcdClient(base::Endpoint service, std::chrono::milliseconds timeout)
    : service_(service)
    , timeout_(timeout)
{
}

asio::awaitable<base::Result<json::value>> EtcdClient::call(std::string path, json::value body)
{
    const bool read = path == "/v3/kv/range";
    ++(read ? counts_.reads : counts_.writes);
    const auto reply = co_await base::httpExchange(service_, path, json::serialize(body), timeout_);
    if (!reply || reply->status != 200) {
        ++counts_.failures;
        co_return reply ? base::Result<json::value>(
            failure(ErrorCode::Unavailable, "the platform answered with status " + std::to_string(reply->status)))
                        : tl::make_unexpected(reply.error());
    }
    boost::system::error_code error;
    auto value = json::parse(reply->body, error);
    if (error || !value.is_object()) {
        ++counts_.failures;
        co_return failure(ErrorCode::Malformed, "the platform's answer is not a JSON object");
    }
    co_return value;
}

asio::awaitable<base::Result<std::vector<json::object>>> EtcdClient::range(std::string key, std::string end)
{
    json::object body;
    body["key"] = toBase64(key);
    if (!end.empty())
        body["range_end"] = toBase64(end);
    const auto answer = co_await call("/v3/kv/range", body);
    if (!answer)
        co_return tl::make_unexpected(answer.error());
    std::vector<json::object> entries;
    const auto* kvs = answer->get_object().if_contains("kvs");
    if (!kvs || !kvs->is_array())
        co_return entries;
    for (const auto& entry : kvs->get_array()) {
        // Reject answers to another request: keys must be within the requested range.
        const auto* object = entry.if_object();
        const auto found = object ? fromBase64(stringField(*object, "key")) : failure(ErrorCode::Malformed, "");
        if (!found || *found < key || (end.empty() ? *found != key : *found >= end))
            co_return failure(ErrorCode::Malformed, "the platform returned a key outside the requested range");
        entries.push_back(*object);
    }
    co_return entries;
}

asio::awaitable<base::Result<CurrentRecord>> EtcdClient::readCurrent()
{
    const auto entries = co_await range(textKey, "");
    if (!entries)
        co_return tl::make_unexpected(entries.error());
    if (entries->empty())
        co_return CurrentRecord {};
    auto record = parseRecord(entries->front());
    if (!record)
        co_return tl::make_unexpected(record.error());
    co_return CurrentRecord { std::move(*record), numberField(entries->front(), "mod_revision") };
}

asio::awaitable<base::Result<SwapOutcome>> EtcdClient::swap(Record record, std::int64_t expectedRevision)
{
    const auto value = serializeRecord(record);
    json::array writes;
    writes.push_back(putRequest(textKey, value));
    writes.push_back(putRequest(historyKey(record.generation), value));
    auto compare = compareEqual(textKey, "MOD", "mod_revision", expectedRevision);
    const auto answer = co_await call("/v3/kv/txn", transaction(std::move(compare), std::move(writes)));
    if (!answer)
        co_return tl::make_unexpected(answer.error());
    co_return succeeded(*answer) ? SwapOutcome::Written : SwapOutcome::RevisionMismatch;
}

asio::awaitable<base::Result<std::vector<Record>>> EtcdClient::history()
{
    const auto entries = co_await range(historyPrefix, prefixEnd(historyPrefix));
    if (!entries)
        co_return tl::make_unexpected(entries.error());
    std::vector<Record> records;
    for (const auto& entry : *entries) {
        if (auto record = parseRecord(entry))
            records.push_back(std::move(*record));
    }
    co_return records;
}

asio::awaitable<base::Result<std::vector<base::Endpoint>>> EtcdClient::entryPoints()
{
    const auto entries = co_await range(entryPrefix, prefixEnd(entryPrefix));
    if (!entries)
        co_return tl::make_unexpected(entries.error());
    std::vector<base::Endpoint> endpoints;
    for (const auto& entry : *entries) {
        const auto text = fromBase64(stringField(entry, "value"));
        const auto endpoint = text ? base::Endpoint::parse(*text) : failure(ErrorCode::Malformed, "");
        if (endpoint)
            endpoints.push_back(*endpoint);
    }
    co_return endpoints;
}

asio::awaitable<base::Result<bool>> EtcdClient::acquireOrRenewEntrySlot(std::size_t slot, base::Endpoint self)
{
    if (const auto held = leases_.find(slot); held != leases_.end()) {
        const auto answer = co_await call("/v3/lease/keepalive", singleField("ID", held->second));
        if (!answer)
            co_return tl::make_unexpected(answer.error());
        const auto* result = answer->get_object().if_contains("result");
        if (result && result->is_object() && numberField(result->get_object(), "TTL") > 0)
            co_return true;
        leases_.erase(slot); // it expired, for example while this process was paused
    }
    const auto key = entryPrefix + std::to_string(slot);
    const auto holder = co_await range(key, "");
    if (!holder)
        co_return tl::make_unexpected(holder.error());
    if (!holder->empty())
        co_return false;
    const auto grant = co_await call("/v3/lease/grant", singleField("TTL", leaseSeconds));
    if (!grant)
        co_return tl::make_unexpected(grant.error());
    const auto lease = stringField(grant->get_object(), "ID");
    json::array writes;
    writes.push_back(putRequest(key, self.toString(), lease));
    auto compare = compareEqual(key, "CREATE", "create_revision", 0);
    const auto answer = co_await call("/v3/kv/txn", transaction(std::move(compare), std::move(writes)));
    if (!answer)
        co_return tl::make_unexpected(answer.error());
    if (succeeded(*answer))
        leases_[slot] = lease;
    co_return succeeded(*answer);
}

} // namespace celerystile::store
