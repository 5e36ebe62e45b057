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
/// @brief The messages between our processes and their bytes: a keyed hash, then a Cap'n Proto message.

namespace celerystile::peer {

/// @brief Largest datagram between our processes: a packet with its header.
inline constexpr std::size_t maxDatagramBytes = 12'288;

/// @brief Largest frame over TCP: a full member list or flow table.
inline constexpr std::size_t maxFrameBytes = 64 * 1024 * 1024;

/// @brief A packet on its way to a sidecar. The packet's bytes belong to the datagram.
struct ForwardMessage {
    core::ForwardHeader header;
    core::Bytes packet;
};

/// @brief Says that a publication has been stored.
struct PublishAck {
    core::MemberId from = 0;
    std::uint64_t sequence = 0;

    bool operator==(const PublishAck&) const = default;
};

using Message = std::variant<ForwardMessage, core::Publication, PublishAck, core::GossipMessage>;

/// @brief Asks for the text in force.
struct FetchText {
    bool operator==(const FetchText&) const = default;
};

/// @brief Asks for all members.
struct FetchMembers {
    bool operator==(const FetchMembers&) const = default;
};

/// @brief Asks a sidecar to stop and hand over its flows.
struct TakeOver {
    core::MemberId host = 0;

    bool operator==(const TakeOver&) const = default;
};

using Request = std::variant<FetchText, FetchMembers, TakeOver>;

/// @brief A text with its generation.
struct TextResponse {
    core::Generation generation = 0;
    std::string text;

    bool operator==(const TextResponse&) const = default;
};

struct MembersResponse {
    std::vector<core::Member> members;

    bool operator==(const MembersResponse&) const = default;
};

/// @brief All that a sidecar's successor needs.
struct HandOverResponse {
    std::vector<core::HandOverFlow> flows;
    std::vector<core::Publication> pointers; ///< held for other owners

    bool operator==(const HandOverResponse&) const = default;
};

struct RefusedResponse {
    std::string reason;

    bool operator==(const RefusedResponse&) const = default;
};

using Response = std::variant<TextResponse, MembersResponse, HandOverResponse, RefusedResponse>;

/// @brief Bytes aligned for Cap'n Proto and reused between messages. One thread.
class DatagramBuffer {
public:
    core::Bytes bytes() const { return { reinterpret_cast<const std::uint8_t*>(words_.data()), size_ }; }
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

/// @brief Reads a datagram. @pre its bytes are aligned to 8.
base::Result<Message> decode(core::Bytes datagram, const Keyring& keyring);

void encodeRequest(const Request& request, const Keyring& keyring, DatagramBuffer& out);
base::Result<Request> decodeRequest(core::Bytes frame, const Keyring& keyring);
void encodeResponse(const Response& response, const Keyring& keyring, DatagramBuffer& out);
base::Result<Response> decodeResponse(core::Bytes frame, const Keyring& keyring);

} // namespace celerystile::peer
