#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/http.hpp"

#include <map>
#include <string>

/// @file
/// @brief Stand-in for the platform: the used subset of the etcd v3 JSON gateway, with scripted faults.

namespace celerystile::fakes {

/// @brief What goes wrong from now on.
struct EtcdGatewayFaults {
    bool down = false; ///< every call fails and has no effect
    int responsesToLose = 0; ///< so many writes take effect while their answer is lost
    int delayMilliseconds = 0; ///< every answer comes so late
};

/// @brief Calls seen, by kind.
struct EtcdGatewayCalls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// @brief Keys, revisions and leases. One thread.
class EtcdGateway {
public:
    explicit EtcdGateway(const base::Clock& clock);

    /// @brief Answers a gateway call.
    base::HttpReply handle(const std::string& path, const std::string& body);

    EtcdGatewayFaults& faults() { return faults_; }
    const EtcdGatewayCalls& calls() const { return calls_; }

    /// @brief Remembers the present state, and goes back to it: a restore from a backup.
    void backup();
    void restore();

private:
    struct Entry {
        std::string value; // base64, as it came
        std::int64_t createRevision = 0;
        std::int64_t modRevision = 0;
        std::string lease;
    };

    struct Lease {
        base::TimePoint expiresAt;
        base::Duration lifetime {};
    };

    using Entries = std::map<std::string, Entry>;

    std::string range(const std::string& body);
    std::string transact(const std::string& body);
    std::string grant(const std::string& body);
    std::string keepAlive(const std::string& body);
    void expireLeases();

    const base::Clock& clock_;
    Entries entries_; // by decoded key
    Entries saved_;
    std::int64_t revision_ = 1;
    std::map<std::string, Lease> leases_;
    std::uint64_t nextLease_ = 7001;
    EtcdGatewayFaults faults_;
    EtcdGatewayCalls calls_;
};

} // namespace celerystile::fakes
