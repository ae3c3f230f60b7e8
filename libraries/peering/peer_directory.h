// SPDX-License-Identifier: BSD-2-Clause
// Which routers there may be, and when to connect to each: from the table of routers, the seeds of the settings, and
// what other routers tell. An address that nobody vouches for any more is forgotten once it does not answer.
#pragma once

#include "base/units.h"

#include <map>
#include <string>
#include <vector>

namespace shedhill::peering {

class peer_directory {
public:
    explicit peer_directory(std::string own_address)
        : m_own_address(std::move(own_address))
    {
    }

    void set_own_address(std::string address) { m_own_address = std::move(address); }
    // The whole table of routers: key and address of each.
    void take_table(std::map<std::string, std::string> const& rows);
    void add_seed(std::string const& address) { learn(address).is_seed = true; }
    // Another router knows of this address.
    void add_told(std::string const& address, instant now) { learn(address).told_at = now; }
    // This router itself has spoken: it is up, and is connected to without waiting.
    void note_heard(std::string const& address, instant now);

    void note_connected(std::string const& address);
    void note_lost(std::string const& address, instant now, std::uint64_t draw);
    // Addresses that are due to be connected to; each counts as being tried from now on.
    [[nodiscard]] std::vector<std::string> take_due(instant now);

    // Rows of routers that have not answered for long, to be removed from the table.
    [[nodiscard]] std::vector<std::string> rows_of_the_dead(instant now) const;
    [[nodiscard]] std::vector<std::string> connected() const;
    // Routers there may be, this one included.
    [[nodiscard]] std::size_t size() const;

private:
    struct peer {
        // Its key in the table, or empty.
        std::string row;
        bool is_seed { false };
        bool is_connected { false };
        bool is_trying { false };
        instant told_at {};
        instant next_try {};
        instant down_since {};
        milliseconds back_off { 0 };
    };

    peer& learn(std::string const& address);

    std::string m_own_address;
    // By address; never contains the own one.
    std::map<std::string, peer> m_peers;
    peer m_self;
};

} // namespace shedhill::peering
