// SPDX-License-Identifier: BSD-2-Clause
// Checks with random events that no attempt goes to an endpoint whose notice forbids it, whichever code path selects
// the endpoint. endpoint_notice_test.cpp describes the failure behind these checks.
#include "tests/dispatch/dispatch_driver.h"

#include "base/hash.h"
#include "tests/support/property.h"

#include <map>
#include <set>

namespace shedhill::dispatch {

class endpoint_notice_property_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_property_test);
    CPPUNIT_TEST(no_attempt_goes_to_an_endpoint_that_backs_off_or_leaves);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static endpoint_entry first_instance_of(std::string const& name)
    {
        auto entry = driver::make_endpoint(name, "plain", 1000);
        entry.started_at_ms = 1;
        return entry;
    }

    // Applies random events to a dispatcher and checks each attempt that the dispatcher sends.
    class simulated_fleet {
    public:
        simulated_fleet()
        {
            for (auto const* name : { "p1", "p2", "p3" })
                m_entries.push_back(first_instance_of(name));
            for (auto const* name : { "m1", "m2" })
                m_entries.push_back(driver::make_endpoint(name, "model", 3));
            m_fleet.start(m_entries);
        }

        void apply_event(int kind, int choice)
        {
            static constexpr std::array prefixes { "/resumable/", "/once/", "/order/", "/look/" };
            auto const drawn = static_cast<std::size_t>(choice);
            switch (kind) {
            case 0:
            case 1:
            case 2:
                return ask(prefixes[drawn % prefixes.size()]);
            case 3:
                return end(drawn, attempt_end::complete, {});
            case 4:
                return end(drawn, attempt_end::not_run, { milliseconds(drawn * 15), false });
            case 5:
                return end(drawn, attempt_end::complete, { milliseconds(0), drawn % 4 == 0 });
            case 6:
                return end(drawn, attempt_end::broken, { milliseconds(drawn * 10), drawn % 8 == 0 });
            case 7:
                return end(drawn, attempt_end::not_sent, {});
            case 8:
                ++m_entries[drawn % m_entries.size()].started_at_ms;
                return apply_list(m_entries);
            case 9: {
                auto remaining = m_entries;
                remaining.erase(remaining.begin() + static_cast<std::ptrdiff_t>(drawn % remaining.size()));
                return apply_list(remaining);
            }
            case 10:
                return apply_list(m_entries);
            default:
                for (auto const until = m_fleet.now() + milliseconds(10 * choice); m_fleet.now() < until; check_sent())
                    m_fleet.wait(milliseconds(10));
            }
        }

        // Checks that endpoints which do not leave receive requests again soon after their last back-off.
        void finish()
        {
            apply_list(m_entries);
            for (int step = 0; step < 1500; ++step) {
                m_fleet.wait(milliseconds(10));
                check_sent();
            }
            bool const has_usable_endpoint = std::ranges::any_of(m_entries, [&](auto const& entry) {
                return entry.pool.value() == "plain" && !m_leaving.contains(key_of(entry.name, entry.started_at_ms));
            });
            auto const request = m_fleet.ask("/look/x");
            m_fleet.wait(milliseconds(100));
            check_sent();
            RC_ASSERT(m_fleet.sent_for(request).empty() != has_usable_endpoint);
        }

    private:
        void ask(std::string const& prefix)
        {
            auto const request = m_fleet.ask(prefix);
            check_sent();
            if (prefix != "/look/" || !m_fleet.refusal_of(request) || !m_fleet.sent_for(request).empty())
                return;
            // A request may be refused at once only if no listed endpoint could have served it.
            for (auto const& entry : m_listed) {
                auto const key = key_of(entry.name, entry.started_at_ms);
                RC_ASSERT(entry.pool.value() != "plain" || m_leaving.contains(key)
                    || m_fleet.now() < m_backoff_until[key] || !is_listed(entry));
            }
        }

        void end(std::size_t drawn, attempt_end outcome, endpoint_notice notice)
        {
            std::vector<send_attempt> running;
            for (auto const& [request, attempt] : m_running)
                running.push_back(attempt);
            if (running.empty())
                return;
            auto const& chosen = running[drawn % running.size()];
            m_running.erase(chosen.request);
            m_fleet.deliver(endpoint_notice_received { chosen.request, chosen.endpoint, chosen.instance, notice });
            auto& until = m_backoff_until[chosen.instance];
            until = std::max(until, m_fleet.now() + notice.backoff);
            if (notice.is_leaving)
                m_leaving.insert(chosen.instance);
            m_fleet.deliver(attempt_ended { chosen.request, chosen.attempt, outcome, 503, 0, false });
            check_sent();
        }

        void apply_list(std::vector<endpoint_entry> const& entries)
        {
            m_listed = entries;
            m_fleet.deliver(endpoints_listed { entries });
            check_sent();
        }

        [[nodiscard]] bool is_listed(endpoint_entry const& expected) const
        {
            return std::ranges::any_of(m_listed, [&](auto const& entry) { return entry == expected; });
        }

        void check_sent()
        {
            for (; m_checked_cancelled < m_fleet.cancelled().size(); ++m_checked_cancelled)
                m_running.erase(m_fleet.cancelled()[m_checked_cancelled].request);
            for (; m_checked_sent < m_fleet.sent().size(); ++m_checked_sent) {
                auto const& sent = m_fleet.sent()[m_checked_sent];
                RC_ASSERT(!m_leaving.contains(sent.instance));
                RC_ASSERT(m_fleet.now() >= m_backoff_until[sent.instance]);
                m_running[sent.request] = sent;
            }
        }

        driver m_fleet;
        std::vector<endpoint_entry> m_entries;
        std::vector<endpoint_entry> m_listed;
        std::map<request_number, send_attempt> m_running;
        std::map<endpoint_key, instant> m_backoff_until;
        std::set<endpoint_key> m_leaving;
        std::size_t m_checked_sent { 0 };
        std::size_t m_checked_cancelled { 0 };
    };

    void no_attempt_goes_to_an_endpoint_that_backs_off_or_leaves()
    {
        testing::check_property("no attempt goes to an endpoint against its notice", [] {
            auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 200)));
            simulated_fleet fleet;
            for (auto const& [kind, choice] : steps)
                fleet.apply_event(kind, choice);
            fleet.finish();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_property_test);

} // namespace shedhill::dispatch
