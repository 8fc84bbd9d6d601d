// Plain service that records every executed call in a ledger.

#include "standin.h"

#include "modeltext.h"

#include <fstream>
#include <memory>
#include <vector>

namespace RattandeckStandin {

namespace {

    struct Service : std::enable_shared_from_this<Service> {
        EventLoop& loop;
        Faults& faults;
        ServiceOptions options;
        std::vector<Json> ledger;
        std::ofstream file;
        std::vector<HttpResponder> hanging;

        Service(EventLoop& loop, Faults& faults, ServiceOptions options)
            : loop(loop)
            , faults(faults)
            , options(std::move(options))
        {
            this->load();
        }

        void load()
        {
            if (this->options.ledgerFile.empty())
                return;
            std::ifstream input(this->options.ledgerFile);
            std::string line;
            while (std::getline(input, line)) {
                Json call = Json::parse(line, nullptr, false);
                if (!call.is_discarded())
                    this->ledger.push_back(std::move(call));
            }
            this->file.open(this->options.ledgerFile, std::ios::app);
        }

        void call(const HttpRequest& request, const HttpResponder& responder)
        {
            if (consumeFault(this->faults.fail)) {
                answerError(responder, 500, "fault");
                return;
            }
            const auto key = request.headers.find("idempotency-key");
            const Json call { { "key", key == request.headers.end() ? std::string() : key->second },
                { "body", request.body } };
            this->loop.timers().subscribeAfter(this->options.latency,
                [self = this->shared_from_this(), call, responder] { self->execute(call, responder); });
        }

        // A call is executed even when its caller has disconnected, because a plain service cannot cancel a call.
        void execute(const Json& call, const HttpResponder& responder)
        {
            this->ledger.push_back(call);
            if (this->file.is_open())
                this->file << call.dump(-1, ' ', false, Json::error_handler_t::replace) << std::endl;
            if (consumeFault(this->faults.dropAnswers)) {
                responder.abort();
                return;
            }
            if (consumeFault(this->faults.hang)) {
                this->hanging.push_back(responder);
                return;
            }
            responder.send({ 200, { { "content-type", "text/plain" } }, serviceText(call["body"].get<std::string>()) });
        }
    };

}

Mode makeService(EventLoop& loop, Faults& faults, const ServiceOptions& options)
{
    const auto service = std::make_shared<Service>(loop, faults, options);
    const auto handle = [service](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path == "/call" && request.method == "POST")
            service->call(request, responder);
        else if (request.path == "/ledger")
            answer(responder, 200, service->ledger);
        else
            answerError(responder, 404, "no such path");
    };
    return { handle, {} };
}

}
