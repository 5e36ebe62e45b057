#pragma once

#include "celerystile/core/directory.hpp"
#include "celerystile/core/flow_table.hpp"
#include "celerystile/core/forwarding.hpp"
#include "celerystile/core/gossip.hpp"
#include "celerystile/peer/keyring.hpp"

#include <string>
#include <variant>
#include <vector>

/// @file
/// @brief The messages between processes and their encoding: a keyed hash followed by a Cap'n Proto message.

namespace celerystile::peer {

/// @brief Maximum size of a datagram between processes: a packet with its header.
inline constexpr std::size_t maxDatagramBytes = 12'288;

/// @brief Maximum size of a frame over TCP: a full member list or flow table.
inline constexpr std::size_t maxFrameBytes = 64 * 1024 * 1024;

/// @brief A packet forwarded to a sidecar. `packet` refers to the bytes of the datagram and is valid as long as they
/// are.
struct ForwardMessage {
    core::ForwardHeader header;
    core::Bytes packet;
};

/// @brief Acknowledges that a publication has been stored.
struct PublishAck {
    core::MemberId from = 0;
    std::uint64_t sequence = 0;

    bool operator==(const PublishAck&) const = default;
};

using Message = std::variant<ForwardMessage, core::Publication, PublishAck, core::GossipMessage>;

/// @brief Requests the configuration text in force.
struct FetchText {
    bool operator==(const FetchText&) const = default;
};

/// @brief Requests the full member list.
struct FetchMembers {
    bool operator==(const FetchMembers&) const = default;
};

/// @brief Requests a sidecar to stop and to hand over its flows.
struct TakeOver {
    core::MemberId host = 0;

    bool operator==(const TakeOver&) const = default;
};

using Request = std::variant<FetchText, FetchMembers, TakeOver>;

/// @brief A configuration text with its generation.
struct TextResponse {
    core::Generation generation = 0;
    std::string text;

    bool operator==(const TextResponse&) const = default;
};

struct MembersResponse {
    std::vector<core::Member> members;

    bool operator==(const MembersResponse&) const = default;
};

/// @brief The state that the successor of a sidecar continues with.
struct HandOverResponse {
    std::vector<core::HandOverFlow> flows;
    std::vector<core::Publication> pointers; ///< that this sidecar stores for flows of other owners
    bool complete = false; ///< the backend server has no other flows; never set by versions that do not know

    bool operator==(const HandOverResponse&) const = default;
};

struct RefusedResponse {
    std::string reason;

    bool operator==(const RefusedResponse&) const = default;
};

using Response = std::variant<TextResponse, MembersResponse, HandOverResponse, RefusedResponse>;

/// @brief Buffer aligned for Cap'n Proto and reused for successive messages. Not thread-safe.
class DatagramBuffer {
public:
    core::Bytes bytes() const { return { reinterpret_cast<const std::uint8_t*>(words_.data()), size_ }; }

    /// @brief Sets the size in bytes and returns the start of the buffer. Earlier contents may remain.
    std::uint8_t* reset(std::size_t size)
    {
        words_.resize((size + 7) / 8);
        size_ = size;
        return reinterpret_cast<std::uint8_t*>(words_.data());
    }

private:
    std::vector<std::uint64_t> words_;
    std::size_t size_ = 0;
};

/// @brief Writes the message with its keyed hash into the buffer.
void encode(const Message& message, const Keyring& keyring, DatagramBuffer& out);

/// @brief Parses a datagram and checks its keyed hash.
/// @pre the bytes are aligned to 8
/// @return TooLarge, Unauthenticated or Malformed if the datagram is rejected
base::Result<Message> decode(core::Bytes datagram, const Keyring& keyring);

/// @brief Encoding of requests (up to maxDatagramBytes) and responses (up to maxFrameBytes), as for datagrams.
void encodeRequest(const Request& request, const Keyring& keyring, DatagramBuffer& out);
base::Result<Request> decodeRequest(core::Bytes frame, const Keyring& keyring);
void encodeResponse(const Response& response, const Keyring& keyring, DatagramBuffer& out);
base::Result<Response> decodeResponse(core::Bytes frame, const Keyring& keyring);

} // namespace celerystile::peer
