/// @file
/// Socket options of connections.
#include "socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>

namespace endivewood {

void SetTcpNoDelay(int fd) {
  const int on = 1;
  setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

void ResetOnClose(int fd) {
  const linger reset{.l_onoff = 1, .l_linger = 0};
  setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
}

void SetUnacknowledgedLimit(int fd, Milliseconds limit) {
  // 0 would mean the system's own limit, which is many minutes.
  const auto milliseconds = static_cast<unsigned>(std::max<std::int64_t>(1, limit.count()));
  setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &milliseconds, sizeof(milliseconds));
}

}  // namespace endivewood
