// The path of one relay to the store. While it is cut, bytes in both directions are held, as by a silent partition.
#pragma once

#include "relay/connection.h"

#include <set>

namespace Parsleytrail::Test
{

class StorePath
{
public:
    StorePath(EventLoop &loop, const Address &store);
    ~StorePath();
    /// Address that the relay is given instead of the store's.
    Address address() const;
    void cut();
    /// Passes on what was held.
    void heal();

private:
    struct Link {
        ConnectionPtr relay;
        ConnectionPtr store;
    };
    using LinkPtr = std::shared_ptr<Link>;

    void accept(int socket);
    void passOn(const LinkPtr &link);
    void end(const LinkPtr &link);

    EventLoop &m_loop;
    Address m_store;
    Listener m_listener;
    std::set<LinkPtr> m_links;
    bool m_isCut = false;
};

} // namespace Parsleytrail::Test
