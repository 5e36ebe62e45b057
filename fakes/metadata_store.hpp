#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/http.hpp"
#include "celerystile/base/random.hpp"

#include <boost/json/object.hpp>
#include <deque>
#include <map>
#include <string>

/// @file
/// @brief Fake of the metadata store of the users' platform: its documented HTTP API, with injected faults.

namespace celerystile::fakes {

/// @brief Faults injected into all further calls.
struct MetadataStoreFaults {
    bool silent = false; ///< calls get no answer, and neither do later ones on the same connection
    unsigned status = 0; ///< not 0: every call is answered with this status and has no effect
    std::chrono::milliseconds delay { 2 }; ///< before every answer
    double lostResponseShare = 0; ///< share of the writes that take effect but are answered with a failure

    bool operator==(const MetadataStoreFaults&) const = default;
};

/// @brief Keys, revisions, leases and watches. Not thread-safe.
class MetadataStore {
public:
    MetadataStore(const base::Clock& clock, std::uint64_t seed)
        : clock_(clock)
        , random_(seed)
    {
    }

    /// @brief Handles an HTTP request.
    boost::asio::awaitable<base::HttpReply> handle(base::HttpRequest request);

    /// @brief Writes a key unconditionally, without faults, as the operator does.
    void put(const std::string& key, const std::string& value);

    /// @brief Deletes a key unconditionally, without faults, as the operator does.
    void erase(const std::string& key);

    /// @brief Expires all leases and deletes their keys.
    void expireAllLeases();

    /// @brief Discards the history of changes, so that watches from earlier revisions fail.
    void compact();

    /// @brief Sets the age of the state that stale listings show. Not a fault: the platform sets no limit to it.
    void setStaleness(std::chrono::milliseconds staleness) { staleness_ = staleness; }

    /// @brief The watches that wait now are never answered, as if their connections had gone silent. Other calls are.
    void silenceWaitingWatches() { ++watchSilences_; }

    MetadataStoreFaults& faults() { return faults_; }
    std::uint64_t calls() const { return calls_; }

    /// @brief Returns the number of keys with this prefix.
    std::size_t count(const std::string& prefix) const;

private:
    struct Item {
        std::string value; // base64
        std::uint64_t revision = 0;
        std::uint64_t created = 0;
        std::uint64_t lease = 0;
    };

    struct Change {
        base::TimePoint at {};
        std::uint64_t revision = 0;
        std::string key;
        bool deleted = false;
        Item item;
    };

    struct Lease {
        std::chrono::milliseconds timeToLive { 0 };
        base::TimePoint expiresAt {};
    };

    base::HttpReply answer(const base::HttpRequest& request);
    base::HttpReply get(const std::string& key) const;
    base::HttpReply range(const std::string& prefix, const std::string& after, bool stale) const;
    static void apply(const Change& change, std::map<std::string, Item>& items);
    std::map<std::string, Item> itemsAt(base::TimePoint time) const;
    boost::asio::awaitable<base::HttpReply> watch(
        std::string prefix, std::uint64_t after, std::chrono::milliseconds wait);
    base::HttpReply transact(const boost::json::object& body);
    base::HttpReply grant(const boost::json::object& body);
    void write(const std::string& key, Item item);
    void expireLeases();

    const base::Clock& clock_;
    base::Random random_;
    MetadataStoreFaults faults_;
    std::map<std::string, Item> items_;
    std::map<std::uint64_t, Lease> leases_;
    std::map<std::string, Item> itemsBeforeHistory_; // changes of history_ apply to these
    std::deque<Change> history_;
    std::uint64_t revision_ = 100;
    std::uint64_t compactedAt_ = 0;
    std::uint64_t lastLease_ = 0;
    std::uint64_t calls_ = 0;
    std::uint64_t watchSilences_ = 0;
    std::chrono::milliseconds staleness_ { 0 };
};

} // namespace celerystile::fakes
