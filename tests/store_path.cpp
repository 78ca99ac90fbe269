#include "tests/store_path.h"

#include <boost/test/unit_test.hpp>

namespace Parsleytrail::Test
{

StorePath::StorePath(EventLoop &loop, const Address &store)
    : m_loop(loop)
    , m_store(store)
    , m_listener(loop, [this](int socket) {
        accept(socket);
    })
{
    Error error;
    const bool isListening = runCatching(
        [this] {
            return m_listener.listen({"127.0.0.1", 0});
        },
        error);
    BOOST_REQUIRE_MESSAGE(isListening, error.toString());
}

StorePath::~StorePath()
{
    for (const LinkPtr &link : m_links) {
        link->relay->close();
        link->store->close();
    }
}

Address StorePath::address() const
{
    return {"127.0.0.1", m_listener.port()};
}

void StorePath::cut()
{
    m_isCut = true;
}

void StorePath::heal()
{
    m_isCut = false;
    const std::set<LinkPtr> links = m_links;
    for (const LinkPtr &link : links) {
        passOn(link);
    }
}

void StorePath::accept(int socket)
{
    constexpr milliseconds connectTimeout{1000};
    const auto link = std::make_shared<Link>(Link{Connection::adopt(m_loop, socket), Connection::connect(m_loop, m_store, connectTimeout)});
    m_links.insert(link);
    Connection::Handlers handlers;
    handlers.onInput = [this, weak = std::weak_ptr(link)] {
        passOn(weak.lock());
    };
    handlers.onEnd = [this, weak = std::weak_ptr(link)](ConnectionEnd) {
        end(weak.lock());
    };
    link->relay->setHandlers(handlers);
    link->store->setHandlers(handlers);
}

void StorePath::passOn(const LinkPtr &link)
{
    if (m_isCut || !link) {
        return;
    }
    link->store->write(std::exchange(link->relay->input(), {}));
    link->relay->write(std::exchange(link->store->input(), {}));
}

void StorePath::end(const LinkPtr &link)
{
    if (link && m_links.erase(link) > 0) {
        link->relay->close();
        link->store->close();
    }
}

} // namespace Parsleytrail::Test
