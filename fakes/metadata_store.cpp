#include "metadata_store.hpp"

#include "celerystile/store/base64.hpp"

#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/json.hpp>

namespace celerystile::fakes {

namespace json = boost::json;

namespace {

    constexpr std::size_t historyLength = 20'000;

    base::HttpReply reply(unsigned status, const json::object& body = {}) { return { status, json::serialize(body) }; }

    /// Returns the percent-decoded value of a query parameter.
    std::string parameter(const std::string& target, const std::string& name)
    {
        const auto query = target.find('?');
        if (query == std::string::npos)
            return "";
        std::string found;
        for (auto at = query + 1; at < target.size();) {
            const auto end = std::min(target.find('&', at), target.size());
            const auto part = target.substr(at, end - at);
            if (part.starts_with(name + "="))
                found = part.substr(name.size() + 1);
            at = end + 1;
        }
        std::string decoded;
        for (std::size_t i = 0; i < found.size(); ++i) {
            const bool escaped = found[i] == '%' && i + 2 < found.size();
            decoded += escaped ? static_cast<char>(std::stoi(found.substr(i + 1, 2), nullptr, 16)) : found[i];
            i += escaped ? 2 : 0;
        }
        return decoded;
    }

    std::uint64_t numberOr(const std::string& text, std::uint64_t otherwise)
    {
        return text.empty() ? otherwise : std::stoull(text);
    }

    std::uint64_t number(const json::object& object, const char* name)
    {
        const auto* value = object.if_contains(name);
        return value ? value->to_number<std::uint64_t>() : 0;
    }

} // namespace

boost::asio::awaitable<base::HttpReply> MetadataStore::handle(base::HttpRequest request)
{
    ++calls_;
    if (faults_.silent) {
        boost::asio::steady_timer never(co_await boost::asio::this_coro::executor, base::TimePoint::max());
        co_await never.async_wait(base::useNothrowAwaitable);
    }
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor, faults_.delay);
    co_await timer.async_wait(base::useNothrowAwaitable);
    if (faults_.status != 0)
        co_return reply(faults_.status);
    expireLeases();
    if (request.target.starts_with("/api/kv-watch"))
        co_return co_await watch(parameter(request.target, "prefix"), numberOr(parameter(request.target, "after"), 0),
            std::chrono::milliseconds(numberOr(parameter(request.target, "waitMs"), 0)));
    auto answered = answer(request);
    const bool lost = request.method == "POST" && random_.unit() < faults_.lostResponseShare;
    co_return lost ? reply(504) : answered;
}

base::HttpReply MetadataStore::answer(const base::HttpRequest& request)
{
    const auto& target = request.target;
    if (target.starts_with("/api/kv-key"))
        return get(parameter(target, "key"));
    if (target.starts_with("/api/kv-range"))
        return range(parameter(target, "prefix"), parameter(target, "after"), parameter(target, "allowStale") == "1");
    if (constexpr std::string_view keep = "/api/kv-keep/"; target.starts_with(keep)) {
        const auto found = leases_.find(std::stoull(target.substr(keep.size())));
        if (found == leases_.end())
            return reply(404);
        found->second.expiresAt = clock_.now() + found->second.timeToLive;
        return reply(200);
    }
    boost::system::error_code error;
    const auto body = json::parse(request.body, error);
    if (error || !body.is_object())
        return reply(400);
    if (target == "/api/kv-txn")
        return transact(body.get_object());
    if (target == "/api/kv-lease")
        return grant(body.get_object());
    return reply(404);
}

base::HttpReply MetadataStore::get(const std::string& key) const
{
    const auto found = items_.find(key);
    if (found == items_.end())
        return reply(404);
    const auto& item = found->second;
    return reply(200,
        { { "key", key }, { "value", item.value }, { "revision", item.revision }, { "created", item.created },
            { "lease", item.lease }, { "storeRevision", revision_ } });
}

void MetadataStore::apply(const Change& change, std::map<std::string, Item>& items)
{
    if (change.deleted)
        items.erase(change.key);
    else
        items[change.key] = change.item;
}

// Discarded changes count as older than any time.
std::map<std::string, MetadataStore::Item> MetadataStore::itemsAt(base::TimePoint time) const
{
    auto items = itemsBeforeHistory_;
    for (const auto& change : history_) {
        if (change.at > time)
            break;
        apply(change, items);
    }
    return items;
}

base::HttpReply MetadataStore::range(const std::string& prefix, const std::string& after, bool stale) const
{
    constexpr std::size_t page = 50;
    json::array items;
    bool more = false;
    const bool old = stale && staleness_ > std::chrono::milliseconds(0);
    const auto& shown = old ? itemsAt(clock_.now() - staleness_) : items_;
    for (auto at = shown.lower_bound(prefix); at != shown.end() && at->first.starts_with(prefix); ++at) {
        if (at->first <= after)
            continue;
        more = items.size() == page;
        if (more)
            break;
        items.push_back({ { "key", at->first }, { "value", at->second.value }, { "revision", at->second.revision },
            { "created", at->second.created }, { "lease", at->second.lease } });
    }
    return reply(200, { { "items", std::move(items) }, { "hasMore", more }, { "storeRevision", revision_ } });
}

boost::asio::awaitable<base::HttpReply> MetadataStore::watch(
    std::string prefix, std::uint64_t after, std::chrono::milliseconds wait)
{
    constexpr std::chrono::milliseconds pollInterval { 10 };
    const auto until = clock_.now() + wait;
    const auto silences = watchSilences_;
    boost::asio::steady_timer timer(co_await boost::asio::this_coro::executor);
    while (true) {
        if (watchSilences_ != silences) {
            timer.expires_at(base::TimePoint::max());
            co_await timer.async_wait(base::useNothrowAwaitable);
        }
        if (faults_.status != 0)
            co_return reply(faults_.status);
        if (after < compactedAt_)
            co_return reply(410);
        json::array events;
        for (const auto& change : history_) {
            if (change.revision <= after || !change.key.starts_with(prefix))
                continue;
            json::object event { { "key", change.key }, { "revision", change.revision } };
            if (change.deleted)
                event["deleted"] = true;
            else
                event["value"] = change.item.value;
            events.push_back(std::move(event));
        }
        if (!events.empty() || clock_.now() >= until)
            co_return reply(200, { { "events", std::move(events) }, { "storeRevision", revision_ } });
        timer.expires_after(pollInterval);
        co_await timer.async_wait(base::useNothrowAwaitable);
    }
}

base::HttpReply MetadataStore::transact(const json::object& body)
{
    json::array present;
    bool holds = true;
    for (const auto& row : body.at("expectedRev").as_array()) {
        const auto key = std::string(row.as_object().at("key").as_string());
        const auto found = items_.find(key);
        const auto revision = found == items_.end() ? 0 : found->second.revision;
        holds = holds && revision == number(row.as_object(), "revision");
        if (found != items_.end())
            present.push_back({ { "key", key }, { "revision", revision }, { "value", found->second.value } });
    }
    if (!holds)
        return reply(412, { { "items", std::move(present) } });
    for (const auto& row : body.at("setKeys").as_array()) {
        const auto lease = number(row.as_object(), "lease");
        if (lease != 0 && !leases_.contains(lease))
            return reply(404);
    }
    for (const auto& row : body.at("setKeys").as_array()) {
        const auto& set = row.as_object();
        write(std::string(set.at("key").as_string()),
            { std::string(set.at("value").as_string()), 0, 0, number(set, "lease") });
    }
    for (const auto& key : body.at("deleteKeys").as_array())
        erase(std::string(key.as_string()));
    return reply(200, { { "revision", revision_ } });
}

base::HttpReply MetadataStore::grant(const json::object& body)
{
    const std::chrono::milliseconds timeToLive(number(body, "ttlMs"));
    leases_[++lastLease_] = { timeToLive, clock_.now() + timeToLive };
    return reply(200, { { "lease", lastLease_ }, { "ttlMs", timeToLive.count() } });
}

void MetadataStore::put(const std::string& key, const std::string& value)
{
    write(key, { store::toBase64(value), 0, 0, 0 });
}

void MetadataStore::write(const std::string& key, Item item)
{
    const auto found = items_.find(key);
    item.revision = ++revision_;
    item.created = found == items_.end() ? revision_ : found->second.created;
    items_[key] = item;
    history_.push_back({ clock_.now(), revision_, key, false, item });
    if (history_.size() > historyLength) {
        apply(history_.front(), itemsBeforeHistory_);
        history_.pop_front();
    }
}

void MetadataStore::erase(const std::string& key)
{
    if (items_.erase(key) > 0)
        history_.push_back({ clock_.now(), ++revision_, key, true, {} });
}

void MetadataStore::expireAllLeases()
{
    for (auto& [id, lease] : leases_)
        lease.expiresAt = clock_.now();
    expireLeases();
}

void MetadataStore::compact()
{
    itemsBeforeHistory_ = items_;
    history_.clear();
    compactedAt_ = revision_;
}

void MetadataStore::expireLeases()
{
    const auto now = clock_.now();
    std::vector<std::string> expired;
    for (const auto& [key, item] : items_) {
        const auto lease = leases_.find(item.lease);
        if (item.lease != 0 && (lease == leases_.end() || lease->second.expiresAt <= now))
            expired.push_back(key);
    }
    for (const auto& key : expired)
        erase(key);
    std::erase_if(leases_, [&](const auto& entry) { return entry.second.expiresAt <= now; });
}

std::size_t MetadataStore::count(const std::string& prefix) const
{
    return static_cast<std::size_t>(std::count_if(
        items_.begin(), items_.end(), [&](const auto& entry) { return entry.first.starts_with(prefix); }));
}

} // namespace celerystile::fakes
