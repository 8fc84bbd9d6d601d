#include "generator.h"

#include "trial.h"

namespace RattandeckProve {

namespace {

    constexpr int firstFault = 2000;
    constexpr int longestFault = 15000;

    rc::Gen<Fault> faults()
    {
        const auto kinds = rc::gen::inRange<int>(0, static_cast<int>(faultKindCount));
        const auto times = rc::gen::noShrink(rc::gen::inRange<int>(firstFault, static_cast<int>(faultWindow.count())));
        const auto nodes = rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, processCount));
        const auto lengths = rc::gen::inRange<int>(50, longestFault);
        return rc::gen::map(
            rc::gen::tuple(rc::gen::noShrink(kinds), times, nodes, nodes, lengths), [](const auto& parts) {
                const auto& [kind, at, node, peer, length] = parts;
                return Fault { static_cast<FaultKind>(kind), Milliseconds(at), node, peer, Milliseconds(length) };
            });
    }

}

rc::Gen<Schedule> schedules(std::uint64_t seed)
{
    return rc::gen::map(rc::gen::container<std::vector<Fault>>(rc::gen::resize(rc::kNominalSize, faults())),
        [seed](std::vector<Fault> generated) {
            return Schedule { seed, std::move(generated) };
        });
}

}
