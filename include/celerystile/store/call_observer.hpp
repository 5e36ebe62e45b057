#pragma once

#include "celerystile/store/call_suspension.hpp"

#include <string>

/// @file
/// @brief What a client of the store reports beside the results of its calls.

namespace celerystile::store {

/// @brief Receives the reports, on the thread of the client.
class CallObserver {
public:
    virtual ~CallObserver() = default;

    /// @brief Calls go on; `suspension` describes the time before.
    virtual void onCallsResumed(const CallSuspension& suspension) = 0;

    /// @brief A listing or a watch contained an item that can't be read and left it out. Not repeated for the same key.
    /// @param key of the item; empty if it has none
    virtual void onItemUnreadable(const std::string& key, const std::string& detail) = 0;
};

} // namespace celerystile::store
