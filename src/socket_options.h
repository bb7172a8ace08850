/// @file
/// Socket options of connections.
#pragma once

#include <endivewood/endivewood.h>

namespace endivewood {

/// Disables Nagle's algorithm (TCP_NODELAY), so that small frames are sent at once.
void SetTcpNoDelay(int fd);

/// Makes close() reset the connection and discard unsent data (SO_LINGER with 0 s). A call that its
/// caller has abandoned must not arrive after newer calls on other connections when a network
/// partition ends.
void ResetOnClose(int fd);

/// Resets the connection once sent data, or the connection attempt, hasn't been acknowledged for
/// `limit` (TCP_USER_TIMEOUT). The operating system does so also while the process is paused.
void SetUnacknowledgedLimit(int fd, Milliseconds limit);

}  // namespace endivewood
