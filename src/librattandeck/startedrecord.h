#pragma once

#include "Rattandeck/messages.h"

namespace Rattandeck {

/// The record of an order whose outcome is open: the reserved maximum counts as charged.
TurnRecord startedRecord(const Order& order);

}
