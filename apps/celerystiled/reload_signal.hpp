#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <chrono>

/// @file
/// @brief SIGHUP, which requests that the settings file is read again.

namespace celerystile::daemon {

/// @brief Holds SIGHUP back in this thread and those that it starts, where its default action would end the process.
void holdReloadSignal();

/// @brief Drops SIGHUP from now on, for a process that has nothing to reload.
void ignoreReloadSignal();

/// @brief Receives SIGHUP while all threads hold it back.
///
/// Not an asio::signal_set: that reads its pipe until it is empty before it runs anything else, which a fast sender can
/// prevent for good. Signals that are held back count as one, however many are sent.
class ReloadSignal {
public:
    /// @pre holdReloadSignal() was called before the first thread was started.
    explicit ReloadSignal(boost::asio::io_context& context);

    /// @brief Waits for SIGHUP. One that arrived before is received at once; several count as one.
    /// @return false after the timeout
    boost::asio::awaitable<bool> wait(std::chrono::milliseconds timeout);

private:
    boost::asio::posix::stream_descriptor descriptor_;
};

} // namespace celerystile::daemon
