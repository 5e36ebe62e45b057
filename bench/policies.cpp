#include "policies.hpp"

#include <boost/unordered/unordered_flat_map.hpp>

namespace celerystile::bench {

namespace {

    std::vector<core::MemberId> readyHosts(const std::vector<core::ServiceHost>& hosts)
    {
        std::vector<core::MemberId> ready;
        for (const auto& host : hosts) {
            if (host.state == core::MemberState::Ready)
                ready.push_back(host.id);
        }
        return ready;
    }

    class ModN final : public PlacementPolicy {
    public:
        core::MemberId choose(const core::Segment& segment, const std::vector<core::ServiceHost>& hosts) override
        {
            const auto ready = readyHosts(hosts);
            return ready.empty() ? 0 : ready[segment.key.hash() % ready.size()];
        }
    };

    class Rendezvous final : public PlacementPolicy {
    public:
        core::MemberId choose(const core::Segment& segment, const std::vector<core::ServiceHost>& hosts) override
        {
            core::MemberId best = 0;
            std::uint64_t bestScore = 0;
            for (const auto host : readyHosts(hosts)) {
                const auto score = base::mix(segment.key.hash() ^ base::mix(host));
                if (best == 0 || score > bestScore) {
                    best = host;
                    bestScore = score;
                }
            }
            return best;
        }
    };

    class RandomTable final : public PlacementPolicy {
    public:
        explicit RandomTable(std::uint64_t seed)
            : random_(seed)
        {
        }

        core::MemberId choose(const core::Segment& segment, const std::vector<core::ServiceHost>& hosts) override
        {
            if (const auto known = table_.find(segment.key); known != table_.end())
                return known->second;
            const auto ready = readyHosts(hosts);
            if (ready.empty())
                return 0;
            return table_[segment.key] = ready[random_.below(ready.size())];
        }

    private:
        base::Random random_;
        boost::unordered_flat_map<core::FlowKey, core::MemberId, core::FlowKeyHash> table_;
    };

} // namespace

std::string toString(PolicyKind kind)
{
    switch (kind) {
    case PolicyKind::Celerystile:
        return "celerystile";
    case PolicyKind::ModN:
        return "mod-n";
    case PolicyKind::Rendezvous:
        return "rendezvous";
    case PolicyKind::RandomTable:
        return "random-table";
    }
    return "?";
}

std::unique_ptr<PlacementPolicy> makePolicy(PolicyKind kind, std::uint64_t seed)
{
    switch (kind) {
    case PolicyKind::ModN:
        return std::make_unique<ModN>();
    case PolicyKind::Rendezvous:
        return std::make_unique<Rendezvous>();
    case PolicyKind::RandomTable:
        return std::make_unique<RandomTable>(seed);
    case PolicyKind::Celerystile:
        break;
    }
    return nullptr;
}

} // namespace celerystile::bench
