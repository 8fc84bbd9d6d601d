// Instance list that returns its content with a configured lag.

#include "standin.h"

#include <deque>
#include <memory>

namespace RattandeckStandin {

namespace {

    struct InstanceList {
        EventLoop& loop;
        Milliseconds lag;
        struct Version {
            Rattandeck::TimePoint since;
            Json list;
        };
        std::deque<Version> versions;

        const Json& visible()
        {
            const auto now = this->loop.timers().now();
            while (this->versions.size() > 1 && this->versions[1].since + this->lag <= now)
                this->versions.pop_front();
            return this->versions.front().list;
        }

        void replace(const HttpRequest& request, const HttpResponder& responder)
        {
            Json list = Json::parse(request.body, nullptr, false);
            if (!list.is_array()) {
                answerError(responder, 400, "not a list");
                return;
            }
            this->versions.push_back({ this->loop.timers().now(), std::move(list) });
            answer(responder, 200, Json::object());
        }
    };

}

Mode makeInstances(EventLoop& loop, const InstancesOptions& options)
{
    const auto instances = std::make_shared<InstanceList>(InstanceList { loop, options.lag, {} });
    instances->versions.push_back({ loop.timers().now(), Json::array() });
    const auto handle = [instances](const HttpRequest& request, const HttpResponder& responder) {
        if (request.path != "/instances")
            answerError(responder, 404, "no such path");
        else if (request.method == "PUT")
            instances->replace(request, responder);
        else
            answer(responder, 200, instances->visible());
    };
    return { handle, {} };
}

}
