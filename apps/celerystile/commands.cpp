#include "commands.hpp"

#include "celerystile/base/http.hpp"
#include "celerystile/operators/configuration_text.hpp"
#include "celerystile/operators/difference.hpp"
#include "celerystile/store/etcd_client.hpp"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/json.hpp>
#include <charconv>
#include <ctime>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sodium.h>
#include <sstream>

namespace celerystile::tool {

namespace json = boost::json;

namespace {

    using base::Option;
    using base::OptionKind;

    constexpr std::chrono::milliseconds processTimeout { 5000 };
    constexpr std::string_view baseGenerationPrefix = "# celerystile: based on generation ";

    constexpr Option fileOption { "file", "", OptionKind::Positional, "", true, 0, 0, "",
        "Configuration text (TOML)." };
    constexpr Option processOption { "process", "", OptionKind::Positional, "", true, 0, 0, "",
        "Status endpoint of a running process, ADDRESS:PORT." };
    constexpr Option jsonOption { "json", "", OptionKind::Switch, "", false, 0, 0, "", "Print JSON, for scripts." };
    constexpr Option platformOption { "platform", "CELERYSTILE_PLATFORM", OptionKind::Endpoint, "", true, 0, 0,
        "ADDRESS:PORT", "The platform's key-value service (etcd v3 JSON gateway)." };
    constexpr Option timeoutOption { "platform-timeout", "CELERYSTILE_PLATFORM_TIMEOUT", OptionKind::Number, "2000",
        false, 10, 60000, "milliseconds", "Timeout of a call to the platform." };

    store::EtcdClient makeClient(const base::Settings& settings)
    {
        return { *base::Endpoint::parse(settings.text("platform")),
            std::chrono::milliseconds(static_cast<int>(settings.number("platform-timeout"))) };
    }

    /// Runs a coroutine to completion on `context` and returns its value; rethrows its exception.
    template <typename Value>
    Value runToCompletion(boost::asio::io_context& context, boost::asio::awaitable<Value> work)
    {
        std::optional<Value> value;
        boost::asio::co_spawn(context, std::move(work), [&](std::exception_ptr error, Value result) {
            if (error)
                std::rethrow_exception(error);
            value = std::move(result);
        });
        context.run();
        return std::move(*value);
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            std::cerr << "celerystile: cannot read file " << path << '\n';
            return std::nullopt;
        }
        std::ostringstream text;
        text << file.rdbuf();
        return text.str();
    }

    bool printDiagnostics(const std::string& path, const std::string& text)
    {
        const auto configuration = operators::parseConfigurationText(text, 1);
        if (configuration)
            return false;
        for (const auto& diagnostic : configuration.error())
            std::cerr << path << ":" << diagnostic.line << ":" << diagnostic.column << ": " << diagnostic.message
                      << '\n';
        return true;
    }

    int check(const base::Settings& settings)
    {
        const auto text = readFile(settings.text("file"));
        if (!text || printDiagnostics(settings.text("file"), *text))
            return exitFailure;
        const auto configuration = operators::parseConfigurationText(*text, 1);
        std::cout << "ok: " << configuration->services.size() << " services; startup order:";
        for (const auto& name : operators::bringUpOrder(*configuration))
            std::cout << ' ' << name;
        std::cout << " (drain in the reverse order)\n";
        return exitSuccess;
    }

    std::string randomId()
    {
        std::array<unsigned char, 8> bytes;
        randombytes_buf(bytes.data(), bytes.size());
        std::array<char, 17> hex;
        sodium_bin2hex(hex.data(), hex.size(), bytes.data(), bytes.size());
        return hex.data();
    }

    std::string utcNow()
    {
        const auto now = std::time(nullptr);
        std::tm parts {};
        gmtime_r(&now, &parts);
        std::ostringstream text;
        text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%SZ");
        return text.str();
    }

    /// Returns the generation that an edit is based on: from --base, otherwise from the first line that `show` writes.
    std::optional<core::Generation> readBaseGeneration(const base::Settings& settings, const std::string& text)
    {
        if (settings.isSet("base"))
            return static_cast<core::Generation>(settings.number("base"));
        if (!text.starts_with(baseGenerationPrefix))
            return std::nullopt;
        core::Generation generation = 0;
        const auto digits = std::string_view(text).substr(baseGenerationPrefix.size());
        std::from_chars(digits.data(), digits.data() + digits.size(), generation);
        return generation;
    }

    std::string stripBaseGeneration(const std::string& text)
    {
        return text.starts_with(baseGenerationPrefix) ? text.substr(text.find('\n') + 1) : text;
    }

    void printReport(const store::SubmitReport& report, const store::Record& record, bool asJson)
    {
        constexpr std::array<const char*, 3> names { "accepted", "conflict", "unknown" };
        const auto* name = names[static_cast<std::size_t>(report.outcome)];
        if (asJson) {
            json::object object { { "outcome", name }, { "generation", report.generation }, { "id", record.submission },
                { "detail", report.detail } };
            if (report.conflicting)
                object["other"]
                    = { { "generation", report.conflicting->generation }, { "author", report.conflicting->author } };
            std::cout << json::serialize(object) << '\n';
            return;
        }
        if (report.outcome == store::SubmitOutcome::Accepted) {
            std::cout << "accepted: generation " << report.generation << ", id " << record.submission << '\n';
        } else if (report.outcome == store::SubmitOutcome::Unknown) {
            std::cout << "unknown: " << report.detail << "\nSubmit again with --id " << record.submission
                      << "; a submission with the same id is not applied twice.\n";
        } else if (report.conflicting) {
            std::cout
                << "rejected: conflict with generation " << report.conflicting->generation << " by "
                << report.conflicting->author << " at " << report.conflicting->time << "\n"
                << operators::difference(report.conflicting->text, record.text)
                << "Get the accepted text with 'celerystile show', merge the change into it and submit the result.\n";
        } else {
            std::cout << "rejected: the platform holds no text, but this edit is based on a generation; use --base 0\n";
        }
    }

    int submit(const base::Settings& settings)
    {
        const auto text = readFile(settings.text("file"));
        if (!text || printDiagnostics(settings.text("file"), *text))
            return exitFailure;
        if (sodium_init() < 0)
            return exitFailure;
        store::Record record;
        record.submission = settings.isSet("id") ? settings.text("id") : randomId();
        record.author = settings.text("author");
        record.time = utcNow();
        record.text = stripBaseGeneration(*text);
        auto client = makeClient(settings);
        boost::asio::io_context context;
        const auto base = readBaseGeneration(settings, *text).value_or(0);
        const auto report = runToCompletion(context, store::submit(client, record, base));
        printReport(report, record, settings.isSet("json"));
        constexpr std::array<int, 3> codes { exitSuccess, exitConflict, exitUnknown };
        return codes[static_cast<std::size_t>(report.outcome)];
    }

    int show(const base::Settings& settings)
    {
        auto client = makeClient(settings);
        boost::asio::io_context context;
        if (settings.isSet("generation")) {
            const auto records = runToCompletion(context, client.history());
            if (!records) {
                std::cerr << "celerystile: " << records.error().detail << '\n';
                return exitFailure;
            }
            const auto requested = static_cast<core::Generation>(settings.number("generation"));
            for (const auto& record : *records) {
                if (record.generation == requested) {
                    std::cout << record.text;
                    return exitSuccess;
                }
            }
            std::cerr << "celerystile: there is no generation " << requested << '\n';
            return exitFailure;
        }
        const auto current = runToCompletion(context, client.readCurrent());
        if (!current || !current->record) {
            std::cerr << "celerystile: "
                      << (current ? "no configuration has been submitted yet" : current.error().detail) << '\n';
            return exitFailure;
        }
        std::cout << baseGenerationPrefix << current->record->generation << '\n' << current->record->text;
        return exitSuccess;
    }

    int history(const base::Settings& settings)
    {
        auto client = makeClient(settings);
        boost::asio::io_context context;
        const auto records = runToCompletion(context, client.history());
        if (!records) {
            std::cerr << "celerystile: " << records.error().detail << '\n';
            return exitFailure;
        }
        json::array rows;
        for (const auto& record : *records) {
            rows.push_back({ { "generation", record.generation }, { "time", record.time }, { "author", record.author },
                { "id", record.submission } });
            if (!settings.isSet("json"))
                std::cout << record.generation << "  " << record.time << "  " << record.author << "  "
                          << record.submission << '\n';
        }
        if (settings.isSet("json"))
            std::cout << json::serialize(rows) << '\n';
        return exitSuccess;
    }

    base::Result<std::string> fetch(const std::string& process, const std::string& target)
    {
        const auto endpoint = base::Endpoint::parse(process);
        if (!endpoint)
            return tl::make_unexpected(endpoint.error());
        const auto reply = base::httpExchangeBlocking(*endpoint, target, "", processTimeout);
        if (!reply)
            return tl::make_unexpected(reply.error());
        if (reply->status != 200)
            return base::failure(base::ErrorCode::Invalid, reply->body);
        return reply->body;
    }

    int printResponse(const std::string& process, const std::string& target)
    {
        const auto body = fetch(process, target);
        if (!body) {
            std::cerr << "celerystile: " << body.error().detail << '\n';
            return exitFailure;
        }
        std::cout << *body << '\n';
        return exitSuccess;
    }

    int dump(const base::Settings& settings) { return printResponse(settings.text("process"), "/dump"); }

    int status(const base::Settings& settings)
    {
        const auto body = fetch(settings.text("process"), "/status");
        if (!body) {
            std::cerr << "celerystile: " << body.error().detail << '\n';
            return exitFailure;
        }
        const auto value = json::parse(*body).as_object();
        const auto& lagging = value.at("lagging").as_array();
        if (settings.isSet("json"))
            std::cout << *body << '\n';
        else if (lagging.empty())
            std::cout << "generation " << value.at("generation") << " is in force on all " << value.at("live")
                      << " live processes\n";
        else
            std::cout << "generation " << value.at("generation") << " lags on " << lagging.size() << " of "
                      << value.at("live") << " live processes: " << json::serialize(lagging) << '\n';
        return lagging.empty() ? exitSuccess : exitFailure;
    }

    int explain(const base::Settings& settings)
    {
        return printResponse(settings.text("process"),
            "/explain?caller=" + settings.text("caller") + "&service=" + settings.text("service"));
    }

} // namespace

const std::vector<Command>& commands()
{
    static const std::vector<Command> all {
        { "check", "check a configuration text; print every error with line and column", { fileOption }, check },
        { "submit", "submit a configuration text; it is accepted as a whole or rejected",
            { fileOption, platformOption, timeoutOption,
                { "author", "CELERYSTILE_AUTHOR", OptionKind::Text, "operator", false, 0, 0, "",
                    "Author of the submission; printed in conflict messages." },
                { "id", "", OptionKind::Text, "", false, 0, 0, "",
                    "Id of the submission; repeat it to retry after an unknown outcome." },
                { "base", "", OptionKind::Number, "", false, 0, 9007199254740991.0, "",
                    "Generation that the edit is based on; by default the one in the first line that show "
                    "writes, or 0." },
                jsonOption },
            submit },
        { "show", "print the accepted configuration text",
            { platformOption, timeoutOption,
                { "generation", "", OptionKind::Number, "", false, 1, 9007199254740991.0, "",
                    "An earlier generation from the history." } },
            show },
        { "history", "list all accepted submissions", { platformOption, timeoutOption, jsonOption }, history },
        { "status", "report whether the newest generation is in force on every live process",
            { processOption, jsonOption }, status },
        { "dump", "print the state of a process as JSON", { processOption }, dump },
        { "explain", "list the candidate hosts of a flow and explain the order",
            { processOption,
                { "caller", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT", "Caller endpoint of the flow." },
                { "service", "", OptionKind::Endpoint, "", true, 0, 0, "ADDRESS:PORT",
                    "Service endpoint of the flow." } },
            explain },
    };
    return all;
}

const Command* findCommand(const std::string& name)
{
    const auto& all = commands();
    const auto found
        = std::find_if(all.begin(), all.end(), [&](const Command& command) { return command.name == name; });
    return found == all.end() ? nullptr : &*found;
}

} // namespace celerystile::tool
