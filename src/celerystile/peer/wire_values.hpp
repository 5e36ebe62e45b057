#pragma once

#include "celerystile/core/candidates.hpp"
#include "celerystile/core/gossip.hpp"
#include "celerystile/peer/schema/message.capnp.h"

#include <capnp/serialize.h>
#include <cstring>
#include <endian.h>

/// @file
/// @brief Conversion between values of the core and their Cap'n Proto structs. Private to the package.

namespace celerystile::peer {

inline std::uint64_t addressHalf(const core::IpAddress& address, std::size_t offset)
{
    std::uint64_t half = 0;
    std::memcpy(&half, address.bytes().data() + offset, sizeof(half));
    return be64toh(half);
}

inline core::IpAddress addressFromHalves(std::uint64_t high, std::uint64_t low)
{
    core::IpAddress::Bytes bytes;
    high = htobe64(high);
    low = htobe64(low);
    std::memcpy(bytes.data(), &high, sizeof(high));
    std::memcpy(bytes.data() + sizeof(high), &low, sizeof(low));
    return core::IpAddress(bytes);
}

inline void write(schema::Endpoint::Builder to, const core::Endpoint& value)
{
    to.setHigh(addressHalf(value.address, 0));
    to.setLow(addressHalf(value.address, 8));
    to.setPort(value.port);
}

inline core::Endpoint read(schema::Endpoint::Reader from)
{
    return { addressFromHalves(from.getHigh(), from.getLow()), from.getPort() };
}

inline void write(schema::Candidate::Builder to, const core::Candidate& value)
{
    to.setHost(value.host);
    write(to.initTraffic(), value.traffic);
    to.setAccepts(value.accepts);
}

inline core::Candidate read(schema::Candidate::Reader from)
{
    return { from.getHost(), read(from.getTraffic()), from.getAccepts() };
}

void write(schema::MemberNews::Builder to, const core::Member& value);
base::Result<core::Member> read(schema::MemberNews::Reader from);
void write(schema::Gossip::Builder to, const core::GossipMessage& value);
base::Result<core::GossipMessage> read(schema::Gossip::Reader from);

} // namespace celerystile::peer
