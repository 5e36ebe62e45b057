#include "celerystile/core/candidates.hpp"

#include <iostream>

// Prints the candidates of a flow before and after one host starts leaving and another joins.

int main()
{
    using namespace celerystile;
    std::vector<core::ServiceHost> hosts;
    for (core::MemberId id = 1; id <= 4; ++id) {
        core::ServiceHost host;
        host.id = id;
        host.capacity = 2000;
        hosts.push_back(host);
    }
    const core::FlowKey flow { *base::Endpoint::parse("10.200.0.1:5000"), *base::Endpoint::parse("10.80.0.1:7001") };
    const auto service = core::hashName("declarations");
    const auto show = [&] {
        const core::CandidateTable table(service, hosts, {});
        for (const auto& candidate : table.lookup(flow.hash()))
            std::cout << ' ' << candidate.host;
        std::cout << '\n';
    };
    std::cout << "candidates of " << flow.toString() << ":";
    show();
    hosts.front().state = core::MemberState::Leaving;
    std::cout << "while host 1 leaves:";
    show();
    core::ServiceHost joiningHost;
    joiningHost.id = 5;
    joiningHost.capacity = 2000;
    hosts.push_back(joiningHost);
    std::cout << "after host 5 joined:";
    show();
    return 0;
}
