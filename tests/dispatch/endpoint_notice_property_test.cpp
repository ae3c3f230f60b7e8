// SPDX-License-Identifier: BSD-2-Clause
// A notice of an endpoint holds against every way to it, under random events. The story of the failure stands in
// endpoint_notice_test.cpp.
#include "tests/dispatch/dispatch_driver.h"

#include "base/hash.h"
#include "tests/support/property.h"

#include <map>
#include <set>

namespace shedhill::dispatch {

class endpoint_notice_property_test : public CppUnit::TestFixture {
    CPPUNIT_TEST_SUITE(endpoint_notice_property_test);
    CPPUNIT_TEST(no_way_leads_to_an_endpoint_that_rests_or_leaves);
    CPPUNIT_TEST_SUITE_END();

    using driver = dispatch_driver;

    static endpoint_entry first_start_of(std::string const& name)
    {
        auto entry = driver::make_endpoint(name, "plain", 1000);
        entry.started_at_ms = 1;
        return entry;
    }

    // Random endpoints, notices, restarts, lists and moments; all ways to an endpoint lead past the same check.
    class noticed_fleet {
    public:
        noticed_fleet()
        {
            for (auto const* name : { "p1", "p2", "p3" })
                m_entries.push_back(first_start_of(name));
            for (auto const* name : { "m1", "m2" })
                m_entries.push_back(driver::make_endpoint(name, "model", 3));
            m_fleet.start(m_entries);
        }

        void take(int kind, int choice)
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
                return relist(m_entries);
            case 9: {
                auto less = m_entries;
                less.erase(less.begin() + static_cast<std::ptrdiff_t>(drawn % less.size()));
                return relist(less);
            }
            case 10:
                return relist(m_entries);
            default:
                for (auto const until = m_fleet.now() + milliseconds(10 * choice); m_fleet.now() < until; check_sent())
                    m_fleet.wait(milliseconds(10));
            }
        }

        // Capacity that rests comes back: whatever was said, it is used again soon after the last rest.
        void finish()
        {
            relist(m_entries);
            for (int step = 0; step < 1500; ++step) {
                m_fleet.wait(milliseconds(10));
                check_sent();
            }
            bool const has_any = std::ranges::any_of(m_entries, [&](auto const& entry) {
                return entry.pool.value() == "plain" && !m_leaving.contains(key_of(entry.name, entry.started_at_ms));
            });
            auto const request = m_fleet.ask("/look/x");
            m_fleet.wait(milliseconds(100));
            check_sent();
            RC_ASSERT(m_fleet.sent_for(request).empty() != has_any);
        }

    private:
        void ask(std::string const& prefix)
        {
            auto const request = m_fleet.ask(prefix);
            check_sent();
            if (prefix != "/look/" || !m_fleet.refusal_of(request) || !m_fleet.sent_for(request).empty())
                return;
            // Who is refused at once could have gone nowhere.
            for (auto const& entry : m_listed) {
                auto const key = key_of(entry.name, entry.started_at_ms);
                RC_ASSERT(entry.pool.value() != "plain" || m_leaving.contains(key) || m_fleet.now() < m_rest_until[key]
                    || !is_listed(entry));
            }
        }

        void end(std::size_t drawn, attempt_end how, endpoint_notice notice)
        {
            std::vector<send_attempt> running;
            for (auto const& [request, attempt] : m_under_way)
                running.push_back(attempt);
            if (running.empty())
                return;
            auto const& chosen = running[drawn % running.size()];
            m_under_way.erase(chosen.request);
            m_fleet.take(endpoint_notice_received { chosen.request, chosen.endpoint, chosen.instance, notice });
            auto& until = m_rest_until[chosen.instance];
            until = std::max(until, m_fleet.now() + notice.backoff);
            if (notice.is_leaving)
                m_leaving.insert(chosen.instance);
            m_fleet.take(attempt_ended { chosen.request, chosen.attempt, how, 503, 0, false });
            check_sent();
        }

        void relist(std::vector<endpoint_entry> const& entries)
        {
            m_listed = entries;
            m_fleet.take(endpoints_listed { entries });
            check_sent();
        }

        [[nodiscard]] bool is_listed(endpoint_entry const& wanted) const
        {
            return std::ranges::any_of(m_listed, [&](auto const& entry) { return entry == wanted; });
        }

        void check_sent()
        {
            for (; m_cancelled_seen < m_fleet.cancelled().size(); ++m_cancelled_seen)
                m_under_way.erase(m_fleet.cancelled()[m_cancelled_seen].request);
            for (; m_sent_seen < m_fleet.sent().size(); ++m_sent_seen) {
                auto const& sent = m_fleet.sent()[m_sent_seen];
                RC_ASSERT(!m_leaving.contains(sent.instance));
                RC_ASSERT(m_fleet.now() >= m_rest_until[sent.instance]);
                m_under_way[sent.request] = sent;
            }
        }

        driver m_fleet;
        std::vector<endpoint_entry> m_entries;
        std::vector<endpoint_entry> m_listed;
        std::map<request_number, send_attempt> m_under_way;
        std::map<endpoint_key, instant> m_rest_until;
        std::set<endpoint_key> m_leaving;
        std::size_t m_sent_seen { 0 };
        std::size_t m_cancelled_seen { 0 };
    };

    void no_way_leads_to_an_endpoint_that_rests_or_leaves()
    {
        testing::check_property("a notice holds against every way", [] {
            auto const steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
                rc::gen::pair(rc::gen::inRange(0, 14), rc::gen::inRange(0, 200)));
            noticed_fleet fleet;
            for (auto const& [kind, choice] : steps)
                fleet.take(kind, choice);
            fleet.finish();
        });
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(endpoint_notice_property_test);

} // namespace shedhill::dispatch
