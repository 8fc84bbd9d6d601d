#include "generator.h"

namespace RattandeckProve {

namespace {

    constexpr int firstFault = 2000;
    constexpr int longestFault = 15000;

    rc::Gen<Fault> faults(const System& system)
    {
        const auto kinds = rc::gen::inRange<int>(0, static_cast<int>(system.faults.size()));
        const auto times
            = rc::gen::noShrink(rc::gen::inRange<int>(firstFault, static_cast<int>(system.faultWindow.count())));
        const auto nodes = rc::gen::noShrink(rc::gen::inRange<std::uint32_t>(0, system.processCount));
        const auto lengths = rc::gen::inRange<int>(50, longestFault);
        return rc::gen::map(rc::gen::tuple(rc::gen::noShrink(kinds), times, nodes, nodes, lengths),
            [known = system.faults](const auto& parts) {
                const auto& [kind, at, node, peer, length] = parts;
                return Fault { known.at(static_cast<std::size_t>(kind)), Milliseconds(at), node, peer,
                    Milliseconds(length) };
            });
    }

}

rc::Gen<Schedule> schedules(const System& system, std::uint64_t seed)
{
    return rc::gen::map(rc::gen::container<std::vector<Fault>>(rc::gen::resize(rc::kNominalSize, faults(system))),
        [seed](std::vector<Fault> generated) {
            return Schedule { seed, std::move(generated) };
        });
}

}
