#include "options.hpp"

#include "celerystile/base/process_id.hpp"

#include <array>
#include <unistd.h>

namespace celerystile::daemon {

namespace {

    using base::Option;
    using base::OptionKind;

    constexpr double maxCapacity = 10'000'000;

#define CELERYSTILE_COMMON_OPTIONS                                                                                     \
    Option { "id", "CELERYSTILE_ID", OptionKind::Text, "", true, 0, 0, "",                                             \
        "Name of this instance or host, unique in the fleet." },                                                       \
        Option { "control", "CELERYSTILE_CONTROL", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",               \
            "Listen address for gossip (UDP) and requests (TCP) of other processes." },                                \
        Option { "status", "CELERYSTILE_STATUS", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",                 \
            "Listen address for /dump, /ready and /status (HTTP)." },                                                  \
        Option { "peer", "CELERYSTILE_PEERS", OptionKind::EndpointList, "", false, 0, 0, "ADDRESS:PORT,...",           \
            "Control endpoints of processes to join through." },                                                       \
        Option { "platform", "CELERYSTILE_PLATFORM", OptionKind::Endpoint, "", false, 0, 0, "ADDRESS:PORT",            \
            "The platform's key-value service (etcd v3 JSON gateway)." },                                              \
        Option { "platform-timeout", "CELERYSTILE_PLATFORM_TIMEOUT", OptionKind::Number, "2000", false, 10, 60000,     \
            "milliseconds", "Timeout of a call to the platform." },                                                    \
        Option { "key", "CELERYSTILE_KEY", OptionKind::Text, "", true, 0, 0, "",                                       \
            "Passphrase of at least 16 characters for the keyed hash; prefer the environment variable." },             \
        Option { "second-key", "CELERYSTILE_SECOND_KEY", OptionKind::Text, "", false, 0, 0, "",                        \
            "Second passphrase that is also accepted, for key rotation." },                                            \
        Option { "failure-domain", "CELERYSTILE_FAILURE_DOMAIN", OptionKind::Text, "default", false, 0, 0, "",         \
            "Failure domain of this instance." },                                                                      \
        Option { "place", "CELERYSTILE_PLACE", OptionKind::Text, "default", false, 0, 0, "",                           \
            "Place of this instance, as named in the configuration text." },                                           \
        Option { "candidates", "CELERYSTILE_CANDIDATES", OptionKind::Number, "3", false, 1, 6, "hosts",                \
            "Candidate hosts per flow that accept new flows; must be equal in the whole fleet." },                     \
        Option { "control-rate", "CELERYSTILE_CONTROL_RATE", OptionKind::Number, "5000", false, 500, 1000000,          \
            "bytes a second", "Limit of control traffic of this process, both directions together." },                 \
        Option                                                                                                         \
    {                                                                                                                  \
        "seed", "CELERYSTILE_SEED", OptionKind::Number, "0", false, 0, 9007199254740991.0, "",                         \
            "Seed of random choices; 0 chooses one at random."                                                         \
    }

    constexpr std::array balancerOptionTable {
        CELERYSTILE_COMMON_OPTIONS,
        Option { "entry", "CELERYSTILE_ENTRY", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",
            "Listen address for packets from the fabric (GUE variant 1 over UDP)." },
        Option { "threads", "CELERYSTILE_THREADS", OptionKind::Number, "1", false, 1, 64, "threads",
            "Traffic threads; each listens on its own port, counting up from the entry port." },
    };

    constexpr std::array sidecarOptionTable {
        CELERYSTILE_COMMON_OPTIONS,
        Option { "traffic", "CELERYSTILE_TRAFFIC", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",
            "Listen address for packets from balancers and other sidecars (UDP)." },
        Option { "services", "CELERYSTILE_SERVICES", OptionKind::Text, "", true, 0, 0, "NAME,...",
            "Services of the configuration text that the backend server serves." },
        Option { "backend", "CELERYSTILE_BACKEND", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",
            "The backend server's GUE port (UDP)." },
        Option { "backend-listen", "CELERYSTILE_BACKEND_LISTEN", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",
            "Listen address for answers of the backend server (GUE variant 1 over UDP)." },
        Option { "gateway", "CELERYSTILE_GATEWAY", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",
            "Gateway of the fabric for answers (GUE variant 1 over UDP)." },
        Option { "health", "CELERYSTILE_HEALTH", OptionKind::Endpoint, "", false, 0, 0, "ADDRESS:PORT",
            "The backend server's HTTP endpoint: GET /load answers {\"ready\":true,\"load\":0.4}." },
        Option { "capacity", "CELERYSTILE_CAPACITY", OptionKind::Number, "2000", false, 1, maxCapacity, "connections",
            "Maximum connections of the backend server; also the weight of the host." },
        Option { "margin", "CELERYSTILE_MARGIN", OptionKind::Number, "0.01", false, 0, 1, "share of capacity",
            "Minimum difference in load at which a later candidate is preferred for a new flow." },
        Option { "ramp", "CELERYSTILE_RAMP", OptionKind::Number, "20", false, 0, 3600, "seconds",
            "Time after the start over which the capacity for new flows ramps up to its full value." },
        Option { "idle-timeout", "CELERYSTILE_IDLE_TIMEOUT", OptionKind::Number, "86400", false, 60, 604800, "seconds",
            "Time without a packet after which a flow record is dropped." },
        Option { "max-flows", "CELERYSTILE_MAX_FLOWS", OptionKind::Number, "1000000", false, 16, maxCapacity, "flows",
            "Maximum number of flow records." },
        Option { "max-opening", "CELERYSTILE_MAX_OPENING", OptionKind::Number, "256", false, 1, 1000000, "flows",
            "Maximum number of flows with an unfinished handshake." },
        Option { "max-opening-per-source", "CELERYSTILE_MAX_OPENING_PER_SOURCE", OptionKind::Number, "64", false, 1,
            1000000, "flows", "Maximum number of flows with an unfinished handshake per caller address." },
        Option { "settle", "CELERYSTILE_SETTLE", OptionKind::Number, "30", false, 1, 3600, "seconds",
            "Time without a change of hosts after which flows that their restarted owner does not hold are reset." },
        Option { "take-over", "CELERYSTILE_TAKE_OVER", OptionKind::Endpoint, "", false, 0, 0, "ADDRESS:PORT",
            "Control endpoint of the predecessor on this host; its flow table is taken over." },
    };

#undef CELERYSTILE_COMMON_OPTIONS

    // Dereferences without a check: parseSettings() has validated all endpoints.
    base::Endpoint endpoint(const base::Settings& settings, std::string_view flag)
    {
        return *base::Endpoint::parse(settings.text(flag));
    }

    std::optional<base::Endpoint> optionalEndpoint(const base::Settings& settings, std::string_view flag)
    {
        if (!settings.isSet(flag))
            return std::nullopt;
        return endpoint(settings, flag);
    }

    base::Result<CommonSettings> readCommonSettings(const base::Settings& settings, core::Role role)
    {
        CommonSettings common;
        auto keyring = peer::Keyring::create(settings.text("key"), settings.text("second-key"));
        if (!keyring)
            return base::failure(keyring.error().code, "--key: " + keyring.error().detail);
        common.keyring = *keyring;
        common.self.id = core::hashName(settings.text("id"));
        common.self.role = role;
        common.self.incarnation = core::firstIncarnation;
        common.self.process = base::makeProcessId(base::SteadyClock().now());
        common.self.control = endpoint(settings, "control");
        common.self.failureDomain = settings.text("failure-domain");
        common.self.place = settings.text("place");
        common.status = endpoint(settings, "status");
        for (const auto& peer : settings.list("peer"))
            common.peers.push_back(*base::Endpoint::parse(peer));
        common.platform = optionalEndpoint(settings, "platform");
        common.platformTimeout = std::chrono::milliseconds(static_cast<int>(settings.number("platform-timeout")));
        common.candidates = static_cast<std::size_t>(settings.number("candidates"));
        common.controlBytesPerSecond = settings.number("control-rate");
        common.seed = static_cast<std::uint64_t>(settings.number("seed"));
        if (common.seed == 0)
            common.seed = common.self.id ^ common.self.process;
        common.raw = settings;
        if (common.peers.empty() && !common.platform)
            return base::failure(base::ErrorCode::Invalid,
                "neither --peer nor --platform is given; at least one is needed to join the fleet");
        return common;
    }

    std::chrono::seconds seconds(const base::Settings& settings, std::string_view flag)
    {
        return std::chrono::seconds(static_cast<std::int64_t>(settings.number(flag)));
    }

} // namespace

std::span<const base::Option> balancerOptions() { return balancerOptionTable; }
std::span<const base::Option> sidecarOptions() { return sidecarOptionTable; }

base::Result<BalancerSettings> readBalancerSettings(const base::Settings& settings)
{
    auto common = readCommonSettings(settings, core::Role::Balancer);
    if (!common)
        return tl::make_unexpected(common.error());
    BalancerSettings balancer { std::move(*common), endpoint(settings, "entry"),
        static_cast<unsigned>(settings.number("threads")) };
    balancer.common.self.traffic = balancer.entry;
    return balancer;
}

base::Result<SidecarSettings> readSidecarSettings(const base::Settings& settings)
{
    auto common = readCommonSettings(settings, core::Role::Sidecar);
    if (!common)
        return tl::make_unexpected(common.error());
    SidecarSettings sidecar;
    sidecar.common = std::move(*common);
    auto& self = sidecar.common.self;
    self.traffic = endpoint(settings, "traffic");
    self.capacity = static_cast<std::uint32_t>(settings.number("capacity"));
    sidecar.serviceNames = settings.list("services");
    for (const auto& name : sidecar.serviceNames)
        self.services.push_back(core::hashName(name));
    sidecar.backend = endpoint(settings, "backend");
    sidecar.backendListen = endpoint(settings, "backend-listen");
    sidecar.gateway = endpoint(settings, "gateway");
    sidecar.health = optionalEndpoint(settings, "health");
    sidecar.takeOver = optionalEndpoint(settings, "take-over");
    auto& options = sidecar.options;
    options.self = { self.id, self.traffic, true };
    options.process = self.process;
    options.admission.capacity = self.capacity;
    options.admission.margin = settings.number("margin");
    options.admission.ramp = seconds(settings, "ramp");
    options.idleTimeout = seconds(settings, "idle-timeout");
    options.directory.retainedLifetime = options.idleTimeout;
    options.settleTime = seconds(settings, "settle");
    options.maxFlows = static_cast<std::size_t>(settings.number("max-flows"));
    options.maxOpening = static_cast<std::uint32_t>(settings.number("max-opening"));
    options.maxOpeningPerSource = static_cast<std::uint32_t>(settings.number("max-opening-per-source"));
    options.seed = sidecar.common.seed;
    return sidecar;
}

} // namespace celerystile::daemon
