#include "Rattandeck/tickets.h"

#include <random>

namespace Rattandeck {

std::uint64_t drawTicket()
{
    std::random_device device;
    // The highest bit is left out, so that counting on does not wrap around.
    std::uniform_int_distribution<std::uint64_t> tickets(0, UINT64_MAX / 2);
    return tickets(device);
}

}
