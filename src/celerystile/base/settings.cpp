#include "celerystile/base/settings.hpp"

#include "celerystile/base/address.hpp"

#include <charconv>
#include <cstdlib>
#include <iostream>
#include <memory>
#include <sstream>
#include <tclap/CmdLine.h>

namespace celerystile::base {

namespace {

    std::vector<std::string> split(const std::string& text)
    {
        std::vector<std::string> parts;
        std::stringstream stream(text);
        for (std::string part; std::getline(stream, part, ',');) {
            if (!part.empty())
                parts.push_back(part);
        }
        return parts;
    }

    std::string formatNumber(double number)
    {
        std::ostringstream text;
        text << number;
        return text.str();
    }

    bool readNumber(const std::string& text, double& number)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        return error == std::errc {} && end == text.data() + text.size();
    }

    std::string describe(const Option& option)
    {
        std::string text(option.help);
        if (!option.unit.empty())
            text += " Unit: " + std::string(option.unit) + ".";
        if (option.kind == OptionKind::Number)
            text += " From " + formatNumber(option.minimum) + " to " + formatNumber(option.maximum) + ".";
        if (!option.defaultValue.empty())
            text += " Default: " + std::string(option.defaultValue) + ".";
        if (!option.environment.empty())
            text += " Environment: " + std::string(option.environment) + ".";
        return text;
    }

    /// Describes why a value is invalid; empty if it is valid.
    std::string validationError(const Option& option, const std::string& value)
    {
        if (value.empty())
            return option.required ? "is missing" : "";
        if (option.kind == OptionKind::Number) {
            double number = 0;
            if (!readNumber(value, number) || number < option.minimum || number > option.maximum)
                return "'" + value + "' is not a number from " + formatNumber(option.minimum) + " to "
                    + formatNumber(option.maximum);
        }
        if (option.kind == OptionKind::Endpoint) {
            if (const auto endpoint = Endpoint::parse(value); !endpoint)
                return endpoint.error().detail + ", for example 127.0.0.1:7400";
        }
        if (option.kind == OptionKind::EndpointList) {
            for (const auto& part : split(value)) {
                if (const auto endpoint = Endpoint::parse(part); !endpoint)
                    return endpoint.error().detail + ", for example 127.0.0.1:7400,127.0.0.1:7401";
            }
        }
        return "";
    }

} // namespace

/// Combines values from flags, environment and defaults.
class SettingsParser {
public:
    SettingsParser(std::string_view program, std::string_view summary, std::span<const Option> options)
        : options_(options)
        , command_(std::string(program) + ": " + std::string(summary), ' ', std::string(version))
    {
        command_.setExceptionHandling(false);
        // TCLAP prints arguments in reverse order of their addition.
        for (auto option = options.rbegin(); option != options.rend(); ++option)
            addArgument(*option);
    }

    tl::expected<Settings, SettingsFailure> parse(std::vector<std::string> arguments)
    {
        SettingsFailure failure;
        try {
            command_.parse(arguments);
        } catch (const TCLAP::ExitException& exit) {
            failure.exitCode = exit.getExitStatus();
            return tl::make_unexpected(failure);
        } catch (const TCLAP::ArgException& error) {
            failure.errors.push_back(error.argId() + ": " + error.error() + " (see --help)");
        }
        Settings settings;
        for (const auto& option : options_)
            readOption(option, settings, failure);
        if (failure.errors.empty())
            return settings;
        failure.exitCode = exitUsage;
        return tl::make_unexpected(failure);
    }

private:
    void addArgument(const Option& option)
    {
        const std::string name(option.flag);
        const auto text = describe(option);
        if (option.kind == OptionKind::Switch) {
            switches_[name] = std::make_unique<TCLAP::SwitchArg>("", name, text, command_);
            return;
        }
        if (option.kind == OptionKind::Positional) {
            values_[name] = std::make_unique<TCLAP::UnlabeledValueArg<std::string>>(
                name, text, option.required, "", std::string(option.help), command_);
            return;
        }
        const std::string type = option.unit.empty() ? "value" : std::string(option.unit);
        values_[name] = std::make_unique<TCLAP::ValueArg<std::string>>("", name, text, false, "", type, command_);
    }

    std::string valueOf(const Option& option)
    {
        const std::string name(option.flag);
        if (const auto found = switches_.find(name); found != switches_.end())
            return found->second->getValue() ? "true" : environmentValue(option);
        auto& argument = *values_.at(name);
        return argument.isSet() ? argument.getValue() : environmentValue(option);
    }

    static std::string environmentValue(const Option& option)
    {
        const char* value = option.environment.empty() ? nullptr : std::getenv(std::string(option.environment).c_str());
        return value ? value : std::string(option.defaultValue);
    }

    void readOption(const Option& option, Settings& settings, SettingsFailure& failure)
    {
        const auto value = valueOf(option);
        const auto error = validationError(option, value);
        if (!error.empty())
            failure.errors.push_back("--" + std::string(option.flag) + " " + error + ". " + describe(option));
        settings.values_[std::string(option.flag)] = value;
    }

    std::span<const Option> options_;
    TCLAP::CmdLine command_;
    std::map<std::string, std::unique_ptr<TCLAP::SwitchArg>> switches_;
    std::map<std::string, std::unique_ptr<TCLAP::ValueArg<std::string>>> values_;
};

const std::string& Settings::text(std::string_view flag) const { return values_.find(flag)->second; }

double Settings::number(std::string_view flag) const
{
    double value = 0;
    readNumber(text(flag), value);
    return value;
}

bool Settings::isSet(std::string_view flag) const { return !text(flag).empty(); }

std::vector<std::string> Settings::list(std::string_view flag) const { return split(text(flag)); }

tl::expected<Settings, SettingsFailure> parseSettings(std::string_view program, std::string_view summary,
    std::span<const Option> options, std::vector<std::string> arguments)
{
    return SettingsParser(program, summary, options).parse(std::move(arguments));
}

} // namespace celerystile::base
