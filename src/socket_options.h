/// @file
/// Socket options of connections.
#pragma once

namespace endivewood {

/// Disables Nagle's algorithm (TCP_NODELAY), so that small frames are sent at once.
void SetTcpNoDelay(int fd);

/// Makes close() reset the connection and discard unsent data (SO_LINGER with 0 s). A call that its
/// caller has abandoned must not arrive after newer calls on other connections when a network
/// partition ends.
void ResetOnClose(int fd);

}  // namespace endivewood
