#pragma once

#include "celerystile/base/clock.hpp"
#include "celerystile/base/http.hpp"

#include <map>
#include <string>

/// @file
/// @brief Fake of the platform's key-value service: the used subset of the etcd v3 JSON gateway, with injected faults.

namespace celerystile::fakes {

/// @brief Faults injected into all further calls.
struct EtcdGatewayFaults {
    bool down = false; ///< every call fails and has no effect
    int responsesToLose = 0; ///< number of writes that take effect but whose answer is lost
    int delayMilliseconds = 0; ///< delay of every answer
};

/// @brief Number of calls received, by kind.
struct EtcdGatewayCalls {
    std::uint64_t reads = 0;
    std::uint64_t writes = 0;
};

/// @brief Keys, revisions and leases. Not thread-safe.
class EtcdGateway {
public:
    explicit EtcdGateway(const base::Clock& clock);

    /// @brief Handles a call to the gateway.
    base::HttpReply handle(const std::string& path, const std::string& body);

    EtcdGatewayFaults& faults() { return faults_; }
    const EtcdGatewayCalls& calls() const { return calls_; }

    /// @brief Saves the current keys.
    void backup();

    /// @brief Replaces all keys by the saved ones, as a restore from a backup does.
    void restore();

private:
    struct Entry {
        std::string value; // base64, as received
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
