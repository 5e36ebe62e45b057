#include "celerystile/operators/configuration_text.hpp"

#include <algorithm>
#include <functional>
#include <map>
#include <set>
#include <toml++/toml.h>

namespace celerystile::operators {

namespace {

    constexpr std::size_t maxNameLength = 64;
    constexpr std::int64_t maxPriority = 9;
    constexpr std::int64_t maxCount = 10'000'000;

    const std::set<std::string, std::less<>> rootKeys { "title", "notes", "places", "services" };
    const std::set<std::string, std::less<>> placeKeys { "name", "failure_domains", "notes" };
    const std::set<std::string, std::less<>> serviceKeys { "name", "purpose", "address", "port", "protocol", "priority",
        "depends_on", "places", "allowed_networks", "slots_per_host", "connections_per_host", "drain_limit_seconds",
        "notes" };

    std::string joinNames(const std::set<std::string, std::less<>>& names)
    {
        std::string text;
        for (const auto& name : names)
            text += (text.empty() ? "" : ", ") + name;
        return text;
    }

    /// Parses one text and collects all diagnostics.
    class ConfigurationReader {
    public:
        ParseResult read(const std::string& text, core::Generation generation)
        {
            if (text.size() > maxConfigurationTextBytes)
                return tl::make_unexpected(std::vector { Diagnostic { 0, 0,
                    "the text has more than " + std::to_string(maxConfigurationTextBytes)
                        + " bytes; shorten the notes" } });
            try {
                readRoot(toml::parse(text));
            } catch (const toml::parse_error& error) {
                const auto& begin = error.source().begin;
                diagnostics_.push_back({ begin.line, begin.column, std::string(error.description()) });
            }
            if (!diagnostics_.empty())
                return tl::make_unexpected(diagnostics_);
            configuration_.generation = generation;
            configuration_.text = text;
            return configuration_;
        }

    private:
        void addDiagnostic(const toml::node& node, std::string message)
        {
            const auto& begin = node.source().begin;
            diagnostics_.push_back({ begin.line, begin.column, std::move(message) });
        }

        void checkKeys(const toml::table& table, const std::set<std::string, std::less<>>& known, const char* where)
        {
            for (const auto& [key, node] : table) {
                if (!known.contains(key.str()))
                    addDiagnostic(node,
                        "unknown key '" + std::string(key.str()) + "' in " + where + "; known: " + joinNames(known));
            }
        }

        template <typename Value>
        std::optional<Value> value(const toml::table& table, const char* key, bool required, const char* expected)
        {
            const auto* node = table.get(key);
            if (!node) {
                if (required)
                    addDiagnostic(table, std::string(key) + " is missing; it must be " + expected);
                return std::nullopt;
            }
            auto found = node->value_exact<Value>();
            if (!found)
                addDiagnostic(*node, std::string(key) + " must be " + expected);
            return found;
        }

        std::uint32_t number(const toml::table& table, const char* key, std::int64_t minimum, std::int64_t maximum,
            std::optional<std::int64_t> fallback)
        {
            const auto expected = "a whole number from " + std::to_string(minimum) + " to " + std::to_string(maximum);
            const auto found = value<std::int64_t>(table, key, !fallback, expected.c_str());
            if (!found)
                return static_cast<std::uint32_t>(fallback.value_or(minimum));
            if (*found < minimum || *found > maximum)
                addDiagnostic(*table.get(key), std::string(key) + " must be " + expected);
            return static_cast<std::uint32_t>(*found);
        }

        std::vector<std::string> strings(const toml::table& table, const char* key, bool required)
        {
            std::vector<std::string> values;
            const auto* node = table.get(key);
            if (!node) {
                if (required)
                    addDiagnostic(table, std::string(key) + " is missing; it must be a list of strings, not empty");
                return values;
            }
            const auto* list = node->as_array();
            if (!list || (required && list->empty())) {
                addDiagnostic(*node, std::string(key) + " must be a list of strings" + (required ? ", not empty" : ""));
                return values;
            }
            for (const auto& item : *list) {
                if (const auto* text = item.as_string())
                    values.push_back(text->get());
                else
                    addDiagnostic(item, std::string(key) + " must contain only strings");
            }
            return values;
        }

        std::string name(const toml::table& table)
        {
            const auto found = value<std::string>(table, "name", true, "a string of letters, digits and '-'");
            if (!found)
                return "";
            const bool plain = std::all_of(found->begin(), found->end(),
                [](unsigned char letter) { return std::isalnum(letter) || letter == '-'; });
            if (found->empty() || found->size() > maxNameLength || !plain)
                addDiagnostic(*table.get("name"), "name must have 1 to 64 letters, digits and '-'");
            return *found;
        }

        template <typename Function> void forEachTable(const toml::table& root, const char* key, Function readTable)
        {
            const auto* node = root.get(key);
            const auto* list = node ? node->as_array() : nullptr;
            if (!list || list->empty()) {
                const std::string message = std::string("there must be at least one [[") + key + "]]";
                node ? addDiagnostic(*node, message) : addDiagnostic(root, message);
                return;
            }
            for (const auto& item : *list) {
                if (const auto* table = item.as_table())
                    readTable(*table);
                else
                    addDiagnostic(item, std::string("each of ") + key + " must be a table, [[" + key + "]]");
            }
        }

        void readRoot(const toml::table& root)
        {
            checkKeys(root, rootKeys, "the text");
            forEachTable(root, "places", [&](const toml::table& table) { readPlace(table); });
            forEachTable(root, "services", [&](const toml::table& table) { readService(table); });
            checkDependencies();
        }

        void readPlace(const toml::table& table)
        {
            checkKeys(table, placeKeys, "a place");
            if (!places_.insert(name(table)).second)
                addDiagnostic(table, "a place of this name is already defined above; use another name");
            strings(table, "failure_domains", false);
        }

        void readService(const toml::table& table)
        {
            checkKeys(table, serviceKeys, "a service");
            core::Service service;
            service.name = name(table);
            service.id = core::hashName(service.name);
            service.purpose = value<std::string>(table, "purpose", false, "a string").value_or("");
            readAddress(table, service);
            service.priority = static_cast<int>(number(table, "priority", 1, maxPriority, 1));
            service.slotsPerHost = number(table, "slots_per_host", 1, maxCount, 1);
            service.connectionsPerHost = number(table, "connections_per_host", 1, maxCount, std::nullopt);
            service.drainLimitSeconds = number(table, "drain_limit_seconds", 0, maxCount, 0);
            service.dependsOn = strings(table, "depends_on", false);
            service.places = strings(table, "places", true);
            for (const auto& place : service.places) {
                if (!places_.contains(place))
                    addDiagnostic(*table.get("places"), "unknown place '" + place + "'; known: " + joinNames(places_));
            }
            readNetworks(table, service);
            if (configuration_.find(service.name))
                addDiagnostic(
                    table, "a service named '" + service.name + "' is already defined above; use another name");
            configuration_.services.push_back(std::move(service));
            servicePositions_.push_back(table.source().begin);
        }

        void readAddress(const toml::table& table, core::Service& service)
        {
            const auto text = value<std::string>(table, "address", true, "an IP address in quotes");
            service.address.port = static_cast<std::uint16_t>(number(table, "port", 1, 65535, std::nullopt));
            const auto protocol = value<std::string>(table, "protocol", false, "\"tcp\"");
            if (protocol && *protocol != "tcp")
                addDiagnostic(*table.get("protocol"), "protocol must be \"tcp\"; other protocols are not supported");
            if (!text)
                return;
            const auto address = core::IpAddress::parse(*text);
            if (!address)
                return addDiagnostic(*table.get("address"), address.error().detail);
            service.address.address = *address;
            if (const auto* other = configuration_.find(service.address))
                addDiagnostic(*table.get("address"),
                    "service '" + other->name + "' has the same address and port; use another port");
        }

        void readNetworks(const toml::table& table, core::Service& service)
        {
            for (const auto& text : strings(table, "allowed_networks", true)) {
                const auto network = core::Network::parse(text);
                if (network)
                    service.allowedNetworks.push_back(*network);
                else
                    addDiagnostic(
                        *table.get("allowed_networks"), network.error().detail + "; write it like 10.1.0.0/16");
            }
        }

        void checkDependencies()
        {
            std::map<std::string, int, std::less<>> visitStates;
            const std::function<bool(const core::Service&)> hasCycle = [&](const core::Service& service) {
                auto& visitState = visitStates[service.name];
                if (visitState != 0)
                    return visitState == 1;
                visitState = 1;
                for (const auto& name : service.dependsOn) {
                    const auto* dependency = configuration_.find(std::string_view(name));
                    if (dependency && hasCycle(*dependency))
                        return true;
                }
                visitStates[service.name] = 2;
                return false;
            };
            for (std::size_t i = 0; i < configuration_.services.size(); ++i) {
                const auto& service = configuration_.services[i];
                for (const auto& name : service.dependsOn) {
                    if (!configuration_.find(std::string_view(name)))
                        addServiceDiagnostic(i,
                            "service '" + service.name + "' depends on '" + name
                                + "', which is not defined in the text");
                }
                if (visitStates[service.name] == 0 && hasCycle(service))
                    addServiceDiagnostic(
                        i, "service '" + service.name + "' depends on itself through depends_on; break the cycle");
            }
        }

        void addServiceDiagnostic(std::size_t service, std::string message)
        {
            diagnostics_.push_back(
                { servicePositions_[service].line, servicePositions_[service].column, std::move(message) });
        }

        core::Configuration configuration_;
        std::set<std::string, std::less<>> places_;
        std::vector<toml::source_position> servicePositions_;
        std::vector<Diagnostic> diagnostics_;
    };

} // namespace

std::string Diagnostic::toString() const
{
    return "line " + std::to_string(line) + ", column " + std::to_string(column) + ": " + message;
}

ParseResult parseConfigurationText(const std::string& text, core::Generation generation)
{
    return ConfigurationReader().read(text, generation);
}

std::vector<std::string> bringUpOrder(const core::Configuration& configuration)
{
    std::vector<std::string> order;
    const std::function<void(const core::Service&)> visit = [&](const core::Service& service) {
        if (std::find(order.begin(), order.end(), service.name) != order.end())
            return;
        for (const auto& name : service.dependsOn) {
            if (const auto* dependency = configuration.find(std::string_view(name)))
                visit(*dependency);
        }
        order.push_back(service.name);
    };
    for (const auto& service : configuration.services)
        visit(service);
    return order;
}

} // namespace celerystile::operators
