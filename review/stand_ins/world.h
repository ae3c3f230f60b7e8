// SPDX-License-Identifier: BSD-2-Clause
// The stand-ins of the review: the platform's store, replicas of a service, and the routers as real processes.
#pragma once

#include "review/stand_ins/net.h"

#include <boost/json.hpp>
#include <condition_variable>
#include <fstream>
#include <memory>
#include <sys/types.h>

namespace shedhill::review {

// Writes what was sent, answered and run, with the milliseconds since the start.
class recorder {
public:
    explicit recorder(std::string const& path)
        : m_file(path)
    {
    }
    void write(std::string const& line);

private:
    std::mutex m_mutex;
    std::ofstream m_file;
};

// The platform's store: rows with versions, reads, a feed of changes, and transactions. It keeps all changes until it
// is told to forget them.
class store {
public:
    explicit store(std::string const& ip);
    // Ends the calls that wait for a change.
    ~store();
    store(store const&) = delete;
    store& operator=(store const&) = delete;

    void put(std::string const& table, std::string const& key, std::string const& value);
    void remove(std::string const& table, std::string const& key);
    // Forgets the history of changes before now. The rows stay.
    void forget();
    [[nodiscard]] std::string const& address() const { return m_server.address(); }

private:
    struct row {
        // As base64.
        std::string value;
        std::uint64_t version { 0 };
        bool is_gone { false };
    };

    void serve(connection& peer);
    void put_encoded(std::string const& table, std::string const& key, std::string value, bool is_gone);
    [[nodiscard]] boost::json::array rows_after(std::string const& table, std::uint64_t version, bool with_gone) const;
    boost::json::object read(std::map<std::string, std::string> const& query);
    bool watch(std::map<std::string, std::string> const& query, boost::json::object& answer);
    bool change(boost::json::object const& body, boost::json::object& answer);
    [[nodiscard]] std::uint64_t version_of(boost::json::object const& entry);

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, std::map<std::string, row>> m_tables;
    std::uint64_t m_version { 0 };
    std::uint64_t m_forgotten { 0 };
    std::atomic<bool> m_is_ending { false };
    server m_server;
};

// One run of a request at a replica.
struct run {
    std::int64_t at { 0 };
    std::string id;
    std::string request_line;
    std::string body;
};

struct replica_options {
    int slots { 6 };
    milliseconds work { 40 };
    std::size_t answer_bytes { 800 };
};

// A replica that runs each request once it has read it, and answers whole.
class replica {
public:
    replica(recorder& record, std::string id, std::string const& ip, replica_options options = {});

    [[nodiscard]] std::string const& id() const { return m_id; }
    // What the replica keeps about itself in the store.
    [[nodiscard]] std::string entry() const;
    // Ends the replica's process.
    void end() { m_server.stop(); }
    [[nodiscard]] std::vector<run> runs();

private:
    void serve(connection& peer);

    recorder& m_record;
    std::string m_id;
    replica_options m_options;
    std::mutex m_mutex;
    std::vector<run> m_runs;
    server m_server;
};

// A router, started with the command of the deploy file.
class router {
public:
    router(recorder& record, std::string name, std::string ip, std::string const& store, std::string const& seed,
        std::string const& folder);
    ~router();
    router(router const&) = delete;
    router& operator=(router const&) = delete;

    [[nodiscard]] std::string const& name() const { return m_name; }
    [[nodiscard]] std::string const& callers() const { return m_callers; }
    [[nodiscard]] std::string const& peers() const { return m_peers; }
    void start();
    void send_signal(int signal) const;
    // Returns false if the router is not ready within ten seconds.
    [[nodiscard]] bool wait_until_ready() const;

private:
    recorder& m_record;
    std::string m_name;
    std::string m_callers;
    std::string m_ready;
    std::string m_peers;
    std::string m_settings;
    pid_t m_process { 0 };
};

// Makes the head of a request of the tenant, whose body has this length.
std::string request_head(
    std::string const& method, std::string const& target, std::string const& id, std::size_t body_bytes);

// Whether the disruption is part of this run: it is left out where TROUBLE is 0.
bool has_trouble();
// Makes a folder for this run's settings files and logs.
std::string make_folder();
// The exit codes of a case.
constexpr int rule_held = 0;
constexpr int rule_broken = 1;
constexpr int could_not_run = 2;

} // namespace shedhill::review
