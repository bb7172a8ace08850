/// @file
/// Random bytes from the operating system.
#include <sys/random.h>

#include <cstdlib>

#include "endivewood_p.h"

namespace endivewood {

void FillRandom(unsigned char* data, std::size_t size) {
  std::size_t filled = 0;
  while (filled < size) {
    const ssize_t got = ::getrandom(data + filled, size - filled, 0);
    if (got < 0) std::abort();
    filled += static_cast<std::size_t>(got);
  }
}

}  // namespace endivewood
