#include "originways.h"

#include "Rattandeck/streamorigins.h"
#include "Rattandeck/wire.h"

#include <algorithm>
#include <iomanip>
#include <map>
#include <memory>
#include <numeric>
#include <ostream>
#include <random>
#include <set>

using namespace Rattandeck;

namespace RattandeckBench {

constexpr int streams = 500;
constexpr int domains = 3;

namespace {

    /// Two gateways and the journals. Messages are delivered in the order in which they were sent.
    class World {
    public:
        explicit World(const OriginWaySpec& spec)
        {
            StreamOriginLimits limits;
            limits.copies = spec.copies;
            for (int number = 0; number < spec.journals; ++number) {
                const NodeId node("journal-" + std::to_string(number));
                this->members.push_back({ node, node.value + ":1" });
                this->journals[node] = std::make_unique<StreamOriginTable>(this->timers);
            }
            this->beginning = this->makeGateway(limits, "beginning");
            this->resuming = this->makeGateway(limits, "resuming");
        }

        static FailureDomain domainOf(int journal) { return FailureDomain(std::to_string(journal % domains)); }

        void lose(int journal)
        {
            const NodeId node = this->members.at(static_cast<std::size_t>(journal)).node;
            this->lost.insert(node);
            this->resuming->onLinkDown(node);
        }

        void begin(const TurnId& request)
        {
            const StreamOrigin origin { ServiceName("llm"), SoftwareVersion("v1.1") };
            this->beginning->record({ request, origin, std::chrono::seconds(60) });
            this->deliver();
        }

        bool isKnown(const TurnId& request)
        {
            bool isKnown = false;
            this->resuming->find(request, {}, [&](const auto& outcome) { isKnown = outcome.has_value(); });
            this->deliver();
            return isKnown;
        }

        std::size_t messages = 0;
        std::size_t bytes = 0;

    private:
        struct Sent {
            NodeId from;
            NodeId to;
            Message message;
        };

        std::unique_ptr<StreamOriginClient> makeGateway(const StreamOriginLimits& limits, const std::string& name)
        {
            const NodeId self(name);
            auto gateway = std::make_unique<StreamOriginClient>(
                this->timers,
                [this, self](const NodeId& to, const Message& message) { return this->send(self, to, message); },
                limits);
            gateway->setMembers(this->members);
            int number = 0;
            for (const JournalMember& member : this->members)
                gateway->onLinkUp(member.node, domainOf(number++));
            return gateway;
        }

        bool send(const NodeId& from, const NodeId& to, const Message& message)
        {
            if (this->lost.contains(to))
                return false;
            ++this->messages;
            this->bytes += encode(message).size();
            this->inFlight.push_back({ from, to, message });
            return true;
        }

        void deliver()
        {
            for (std::size_t next = 0; next < this->inFlight.size(); ++next) {
                const Sent sent = this->inFlight[next];
                const auto journal = this->journals.find(sent.to);
                if (journal == this->journals.end()) {
                    this->resuming->onMessage(sent.from, sent.message);
                    continue;
                }
                journal->second->onMessage(sent.from, sent.message,
                    [&](const NodeId& to, const Message& answer) { return this->send(sent.to, to, answer); });
            }
            this->inFlight.clear();
        }

        TimerService timers;
        std::vector<JournalMember> members;
        std::map<NodeId, std::unique_ptr<StreamOriginTable>> journals;
        std::unique_ptr<StreamOriginClient> beginning;
        std::unique_ptr<StreamOriginClient> resuming;
        std::set<NodeId> lost;
        std::vector<Sent> inFlight;
    };

}

OriginWayResult playOriginWay(const OriginWaySpec& spec, std::uint64_t seed)
{
    World world(spec);
    const auto name = [](int number) { return TurnId("request-" + std::to_string(number)); };
    for (int number = 0; number < streams; ++number)
        world.begin(name(number));
    OriginWayResult result;
    result.messagesPerStream = static_cast<double>(world.messages) / streams;
    result.bytesPerStream = static_cast<double>(world.bytes) / streams;

    std::vector<int> order(static_cast<std::size_t>(spec.journals));
    std::iota(order.begin(), order.end(), 0);
    std::shuffle(order.begin(), order.end(), std::mt19937_64(seed));
    for (int number = 0; number < spec.journals; ++number) {
        const bool isLost
            = spec.isDomainLost ? number % domains == 0 : order[static_cast<std::size_t>(number)] < spec.lostJournals;
        if (isLost)
            world.lose(number);
    }
    world.messages = 0;
    int known = 0;
    for (int number = 0; number < streams; ++number)
        known += world.isKnown(name(number)) ? 1 : 0;
    result.known = static_cast<double>(known) / streams;
    result.messagesPerQuestion = static_cast<double>(world.messages) / streams;
    return result;
}

void printOriginWays(std::ostream& out)
{
    out << "journals  copies  messages and bytes a stream  messages a question  known after the loss of the gateway "
           "and\n"
        << "                                                                    0     1     2 journals, one domain\n";
    out << std::fixed << std::setprecision(2);
    for (const int journals : { 3, 20, 40, 119 }) {
        const auto all = static_cast<std::size_t>(journals);
        for (const std::size_t copies : std::set<std::size_t> { 0, 1, 2, 3, all }) {
            const OriginWayResult calm = playOriginWay({ journals, copies }, 1);
            out << std::setw(8) << journals << std::setw(8) << copies << std::setw(14) << calm.messagesPerStream
                << std::setw(14) << calm.bytesPerStream << std::setw(20) << calm.messagesPerQuestion << "    ";
            for (const int lost : { 0, 1, 2 })
                out << std::setw(6) << playOriginWay({ journals, copies, lost }, 1).known;
            out << std::setw(6) << playOriginWay({ journals, copies, 0, true }, 1).known << "\n";
        }
    }
}

}
