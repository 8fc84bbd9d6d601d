#pragma once

#include <cstdint>

namespace Rattandeck {

/// Draws the ticket after which a process numbers its requests, so that no two processes use the same ones.
std::uint64_t drawTicket();

}
