#include "fleet_options.hpp"

#include <array>

namespace celerystile::daemon {

namespace {

    using base::Option;
    using base::OptionKind;

    constexpr std::array fleetOptionTable {
        Option { "settings-file", platform::settingsPathVariable, OptionKind::Text, "", true, 0, 0, "PATH",
            "Settings file that the platform provides for this process; reloaded when it changes." },
        Option { "key", "CELERYSTILE_KEY", OptionKind::Text, "", true, 0, 0, "",
            "Passphrase of at least 16 characters for the keyed hash; prefer the environment variable." },
        Option { "second-key", "CELERYSTILE_SECOND_KEY", OptionKind::Text, "", false, 0, 0, "",
            "Second passphrase that is also accepted, for key rotation." },
        Option { "placement", "CELERYSTILE_PLACEMENT", OptionKind::Text, "least-loaded", false, 0, 0, "",
            "Placement strategy for new flows: least-loaded, overflow, local-first or rendezvous." },
        Option { "log-decisions", "CELERYSTILE_LOG_DECISIONS", OptionKind::Number, "40", false, 1, 1'000'000,
            "lines a second", "Limit of log lines on single flows; further ones are only counted." },
    };

} // namespace

std::span<const base::Option> fleetOptions() { return fleetOptionTable; }

base::Result<FleetSettings> readFleetSettings(const base::Settings& settings)
{
    auto keyring = peer::Keyring::create(settings.text("key"), settings.text("second-key"));
    if (!keyring)
        return base::failure(keyring.error().code, "--key: " + keyring.error().detail);
    auto node = platform::readNodeSettings(settings.text("settings-file"));
    if (!node)
        return base::failure(node.error().code, "--settings-file: " + node.error().detail);
    if (!fleet::isPlacementName(settings.text("placement")))
        return base::failure(base::ErrorCode::Invalid,
            "--placement: '" + settings.text("placement")
                + "' is unknown; must be least-loaded, overflow, local-first or rendezvous");
    return FleetSettings { settings.text("settings-file"), std::move(*node), *keyring, settings.text("placement"),
        static_cast<unsigned>(settings.number("log-decisions")) };
}

} // namespace celerystile::daemon
