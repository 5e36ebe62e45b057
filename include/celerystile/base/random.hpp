#pragma once

#include <cstdint>

/// @file
/// @brief Seeded pseudo-random numbers and integer mixing. Not for secrets.

namespace celerystile::base {

/// @brief Mixes the bits of a 64-bit value (finalizer of SplitMix64).
constexpr std::uint64_t mix(std::uint64_t value)
{
    value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
    value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
    return value ^ (value >> 31);
}

/// @brief SplitMix64 generator; satisfies UniformRandomBitGenerator. Not thread-safe.
class Random {
public:
    using result_type = std::uint64_t;

    explicit Random(std::uint64_t seed)
        : state_(seed)
    {
    }

    static constexpr result_type min() { return 0; }
    static constexpr result_type max() { return ~result_type { 0 }; }
    result_type operator()() { return mix(state_ += 0x9e3779b97f4a7c15ULL); }

    /// @brief A number in [0, bound). @pre bound > 0.
    std::uint64_t below(std::uint64_t bound) { return (*this)() % bound; }

    /// @brief A number in [0, 1).
    double unit() { return static_cast<double>((*this)() >> 11) * 0x1.0p-53; }

private:
    std::uint64_t state_;
};

} // namespace celerystile::base
