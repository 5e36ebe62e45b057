#include "celerystile/core/balancer.hpp"
#include "celerystile/core/sidecar.hpp"
#include "celerystile/store/base64.hpp"
#include "inputs.hpp"
#include "platform/operator_config.hpp"
#include "platform/store_client.hpp"

#include <cstdlib>
#include <iostream>
#include <string>

/// @file
/// @brief `celerystile-cost STEP TIMES` repeats one operation, so that scripts/cost can count its instructions.

namespace {

using namespace celerystile;
using bench::makeFlowKey;
using bench::makeHosts;

constexpr std::uint32_t records = 100'000;

std::uint64_t lookUp(std::uint32_t times)
{
    const core::CandidateTable table(1, makeHosts(8), {});
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < times; ++i)
        sum += table.lookup(makeFlowKey(i).hash()).front().host;
    return sum;
}

std::uint64_t hit(std::uint32_t times)
{
    core::FlowTable table;
    for (std::uint32_t i = 0; i < records; ++i)
        table.add(makeFlowKey(i), {});
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < times; ++i)
        sum += table.find(makeFlowKey(i % records)) != nullptr ? 1 : 0;
    return sum;
}

std::uint64_t rebuild(std::uint32_t times)
{
    const auto hosts = makeHosts(600);
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < times; ++i)
        sum += core::CandidateTable(i, hosts, {}).lookup(1).front().host;
    return sum;
}

std::uint64_t publish(std::uint32_t times)
{
    constexpr std::uint64_t displaced = 10'000;
    core::DirectoryOptions options;
    options.bytesPerSecond = 1e9;
    options.burstBytes = 1e9;
    options.maxUnacknowledgedPerTarget = displaced;
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < times; ++i) {
        core::Publisher publisher(options, { 1, {}, true }, i, i);
        for (std::uint64_t flow = 0; flow < displaced; ++flow)
            publisher.enqueue({ 2, {}, true }, flow);
        sum += publisher.poll(base::TimePoint { std::chrono::hours(1) }).size();
    }
    return sum;
}

std::uint64_t loadConfiguration(std::uint32_t times)
{
    constexpr std::size_t routes = 2'200;
    const auto reply = boost::json::serialize(boost::json::object { { "key", "op/config" }, { "revision", 7 },
        { "value", store::toBase64(bench::makeConfigurationText(routes, 7)) } });
    std::uint64_t sum = 0;
    for (std::uint32_t i = 0; i < times; ++i) {
        const auto item = platform::parseItem(reply);
        const auto table = item ? platform::parseConfiguration(item->value) : tl::make_unexpected(item.error());
        sum += table ? table->routes.size() : 0;
    }
    return sum;
}

} // namespace

int main(int argc, char** argv)
{
    const std::string step = argc > 2 ? argv[1] : "";
    const auto times = argc > 2 ? static_cast<std::uint32_t>(std::strtoul(argv[2], nullptr, 10)) : 0;
    if (step == "lookup")
        std::cout << lookUp(times) << '\n';
    else if (step == "hit")
        std::cout << hit(times) << '\n';
    else if (step == "rebuild")
        std::cout << rebuild(times) << '\n';
    else if (step == "publish")
        std::cout << publish(times) << '\n';
    else if (step == "configuration")
        std::cout << loadConfiguration(times) << '\n';
    else
        return 2;
    return 0;
}
