#include "celerystile/base/process_id.hpp"

#include "celerystile/base/random.hpp"

#include <algorithm>
#include <random>

namespace celerystile::base {

std::uint64_t makeProcessId(TimePoint now)
{
    std::random_device random;
    const auto bits = static_cast<std::uint64_t>(random()) << 32 | random();
    const auto id = mix(bits ^ mix(static_cast<std::uint64_t>(now.time_since_epoch().count())));
    return std::max<std::uint64_t>(1, id);
}

} // namespace celerystile::base
