/// @file
/// Random bytes from getrandom().
#include <sys/random.h>

#include <cstdlib>

#include "endivewood_p.h"

namespace endivewood {

void FillRandom(unsigned char* data, std::size_t size) {
  std::size_t filled = 0;
  while (filled < size) {
    const ssize_t received = ::getrandom(data + filled, size - filled, 0);
    if (received < 0) std::abort();
    filled += static_cast<std::size_t>(received);
  }
}

}  // namespace endivewood
