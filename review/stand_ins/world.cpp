// SPDX-License-Identifier: BSD-2-Clause
// Implements the stand-ins and starts the routers.
#include "review/stand_ins/world.h"

#include <array>
#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <filesystem>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

namespace shedhill::review {

namespace {

namespace json = boost::json;

constexpr milliseconds store_answer_time { 4 };

std::string to_base64(std::string const& bytes)
{
    constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    constexpr std::uint32_t last_six_bits = 63;
    std::string text;
    for (std::size_t at = 0; at < bytes.size(); at += 3) {
        std::uint32_t group = 0;
        for (std::size_t index = 0; index < 3; ++index)
            group = group << 8U | (at + index < bytes.size() ? static_cast<unsigned char>(bytes[at + index]) : 0U);
        for (std::uint32_t index = 0; index < 4; ++index)
            text += at + index > bytes.size() ? '=' : letters[group >> (18U - 6U * index) & last_six_bits];
    }
    return text;
}

std::map<std::string, std::string> query_of(std::string const& target)
{
    std::map<std::string, std::string> query;
    std::istringstream items(target.substr(std::min(target.find('?'), target.size() - 1) + 1));
    for (std::string item; std::getline(items, item, '&');) {
        auto const equals = std::min(item.find('='), item.size());
        query[item.substr(0, equals)] = equals < item.size() ? item.substr(equals + 1) : std::string();
    }
    return query;
}

std::string text_of(json::object const& from, std::string const& name)
{
    return std::string(from.at(name).as_string());
}

std::string answer_text(
    int status, std::vector<std::pair<std::string, std::string>> const& fields, std::string const& body)
{
    constexpr int first_not_success = 300;
    std::ostringstream text;
    text << "HTTP/1.1 " << status << (status < first_not_success ? " OK\r\n" : " Failed\r\n");
    for (auto const& [name, value] : fields)
        text << name << ": " << value << "\r\n";
    text << "Content-Length: " << body.size() << "\r\n\r\n" << body;
    return text.str();
}

// Returns the command of the router in the deploy file, word by word.
std::vector<std::string> deployed_command()
{
    std::ifstream file("deploy/system.toml");
    for (std::string line; std::getline(file, line);) {
        if (!line.starts_with("run = \""))
            continue;
        auto const begin = line.find('"') + 1;
        std::istringstream words(line.substr(begin, line.rfind('"') - begin));
        std::vector<std::string> command;
        for (std::string word; words >> word;)
            command.push_back(word);
        return command;
    }
    return {};
}

} // namespace

void recorder::write(std::string const& line)
{
    std::scoped_lock const lock(m_mutex);
    m_file << now_ms() << " ms  " << line << std::endl;
}

store::store(std::string const& ip)
    : m_server(ip, [this](connection& peer) { serve(peer); })
{
}

store::~store()
{
    m_is_ending = true;
    m_changed.notify_all();
}

void store::put(std::string const& table, std::string const& key, std::string const& value)
{
    std::scoped_lock const lock(m_mutex);
    put_encoded(table, key, to_base64(value), false);
}

void store::remove(std::string const& table, std::string const& key)
{
    std::scoped_lock const lock(m_mutex);
    put_encoded(table, key, {}, true);
}

void store::put_encoded(std::string const& table, std::string const& key, std::string value, bool is_gone)
{
    m_tables[table][key] = { std::move(value), ++m_version, is_gone };
    m_changed.notify_all();
}

void store::forget()
{
    std::scoped_lock const lock(m_mutex);
    m_forgotten = m_version;
    for (auto& [table, rows] : m_tables)
        std::erase_if(rows, [](auto const& entry) { return entry.second.is_gone; });
}

json::array store::rows_after(std::string const& table, std::uint64_t version, bool with_gone) const
{
    json::array rows;
    auto const found = m_tables.find(table);
    if (found == m_tables.end())
        return rows;
    std::map<std::uint64_t, json::object> in_order;
    for (auto const& [key, stored] : found->second) {
        if (stored.version <= version || (stored.is_gone && !with_gone))
            continue;
        json::object one { { "table", table }, { "part", "" }, { platform_name("row_key"), key },
            { "ver", stored.version } };
        if (stored.is_gone)
            one["gone"] = true;
        else
            one["value"] = stored.value;
        // The feed answers in the order of the changes, a read in the order of the keys.
        in_order[with_gone ? stored.version : in_order.size()] = std::move(one);
    }
    for (auto& [number, one] : in_order)
        rows.push_back(std::move(one));
    return rows;
}

json::object store::read(std::map<std::string, std::string> const& query)
{
    std::scoped_lock const lock(m_mutex);
    return { { "rows", rows_after(query.at("table"), 0, false) }, { "more", false }, { "ver", m_version },
        { "now_ms", now_ms() } };
}

bool store::watch(std::map<std::string, std::string> const& query, json::object& answer)
{
    auto const since = std::stoull(query.at(platform_name("since")));
    auto const until = std::chrono::steady_clock::now() + milliseconds(std::stoll(query.at(platform_name("wait"))));
    std::unique_lock lock(m_mutex);
    json::array rows;
    while (since >= m_forgotten && !m_is_ending) {
        rows = rows_after(query.at("table"), since, true);
        if (!rows.empty() || m_changed.wait_until(lock, until) == std::cv_status::timeout)
            break;
    }
    if (since < m_forgotten)
        return false;
    answer = { { "rows", std::move(rows) }, { "ver", m_version }, { "now_ms", now_ms() } };
    return true;
}

std::uint64_t store::version_of(json::object const& entry)
{
    auto const& found = m_tables[text_of(entry, "table")][text_of(entry, platform_name("row_key"))];
    return found.is_gone ? 0 : found.version;
}

bool store::change(json::object const& body, json::object& answer)
{
    std::scoped_lock const lock(m_mutex);
    for (auto const& entry : body.at(platform_name("expected")).as_array()) {
        if (version_of(entry.as_object()) != entry.at("ver").to_number<std::uint64_t>())
            return false;
    }
    auto const key_name = platform_name("row_key");
    for (auto const& entry : body.at("put").as_array()) {
        auto const& changed = entry.as_object();
        put_encoded(text_of(changed, "table"), text_of(changed, key_name), text_of(changed, "value"), false);
    }
    for (auto const& entry : body.at("remove").as_array()) {
        auto const& changed = entry.as_object();
        put_encoded(text_of(changed, "table"), text_of(changed, key_name), {}, true);
    }
    answer = { { "ver", m_version }, { "now_ms", now_ms() } };
    return true;
}

void store::serve(connection& peer)
{
    constexpr int ok = 200;
    constexpr int failed_condition = 412;
    constexpr int gone = 410;
    message call;
    while (peer.read_message(call)) {
        sleep_for(store_answer_time);
        auto const target = call.word(1);
        json::object answer;
        int status = ok;
        if (target.starts_with(platform_name("read_rows")))
            answer = read(query_of(target));
        else if (target.starts_with(platform_name("watch_rows")))
            status = watch(query_of(target), answer) ? ok : gone;
        else
            status = change(json::parse(call.body).as_object(), answer) ? ok : failed_condition;
        if (!peer.write(answer_text(status, { { "Content-Type", "application/json" } }, json::serialize(answer))))
            return;
    }
}

replica::replica(recorder& record, std::string id, std::string const& ip, replica_options options)
    : m_record(record)
    , m_id(std::move(id))
    , m_options(options)
    , m_server(ip, [this](connection& peer) { serve(peer); })
{
}

std::string replica::entry() const
{
    return fill_template(
        "entry.json", { { "ADDRESS", m_server.address() }, { "SLOTS", std::to_string(m_options.slots) } });
}

std::vector<run> replica::runs()
{
    std::scoped_lock const lock(m_mutex);
    return m_runs;
}

void replica::serve(connection& peer)
{
    constexpr int ok = 200;
    constexpr int another_instance = 421;
    message request;
    while (peer.read_message(request)) {
        auto const id = request.field(platform_name("request_id"));
        std::pair const id_field { platform_name("request_id"), id };
        if (auto const expected = request.field(platform_name("expected_endpoint"));
            !expected.empty() && expected != m_id) {
            if (!peer.write(answer_text(another_instance, { id_field }, {})))
                return;
            continue;
        }
        {
            std::scoped_lock const lock(m_mutex);
            m_runs.push_back({ now_ms(), id, request.start, request.body });
        }
        m_record.write("replica " + m_id + " runs " + id + ": " + request.start + ", body of "
            + std::to_string(request.body.size()) + " bytes");
        sleep_for(m_options.work);
        auto const signature = "signed." + m_id + "." + id;
        if (!peer.write(answer_text(
                ok, { id_field, { platform_name("signature"), signature } }, std::string(m_options.answer_bytes, 'x'))))
            return;
    }
}

router::router(recorder& record, std::string name, std::string ip, std::string const& store, std::string const& seed,
    std::string const& folder)
    : m_record(record)
    , m_name(std::move(name))
    , m_settings(folder + "/" + m_name + ".json")
{
    auto const callers = std::to_string(free_port(ip));
    auto const ready = std::to_string(free_port(ip));
    auto const peers = std::to_string(free_port(ip));
    m_callers = ip + ":" + callers;
    m_ready = ip + ":" + ready;
    m_peers = ip + ":" + peers;
    std::ofstream(m_settings) << fill_template("settings.json",
        { { "NAME", m_name }, { "IP", ip }, { "CALLERS", callers }, { "READY", ready }, { "PEERS", peers },
            { "SEED", seed.empty() ? m_peers : seed }, { "STORE", store } });
}

router::~router()
{
    if (m_process <= 0)
        return;
    ::kill(m_process, SIGKILL);
    ::waitpid(m_process, nullptr, 0);
}

void router::start()
{
    auto words = deployed_command();
    auto variable = platform_name("settings_variable") + "=" + m_settings;
    auto const log = m_settings + ".log";
    std::vector<char*> arguments;
    arguments.reserve(words.size() + 1);
    for (auto& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    std::array<char*, 2> environment { variable.data(), nullptr };
    m_process = ::fork();
    if (m_process == 0) {
        // The router ends with this program, whatever ends it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        constexpr int anyone_reads = 0644;
        auto const output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, anyone_reads);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        ::execve(arguments.front(), arguments.data(), environment.data());
        ::_exit(could_not_run);
    }
    m_record.write("router " + m_name + " starts, callers at " + m_callers);
}

void router::send_signal(int signal) const
{
    m_record.write("router " + m_name + " gets signal " + std::to_string(signal));
    ::kill(m_process, signal);
}

bool router::wait_until_ready() const
{
    constexpr int attempts = 200;
    constexpr milliseconds pause { 50 };
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (auto const descriptor = connection::open(m_ready); descriptor >= 0) {
            connection asked(descriptor);
            message answer;
            if (asked.write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n") && asked.read_message(answer)
                && answer.word(1) == "200")
                return true;
        }
        sleep_for(pause);
    }
    return false;
}

std::string request_head(
    std::string const& method, std::string const& target, std::string const& id, std::size_t body_bytes)
{
    auto text = method + " " + target + " HTTP/1.1\r\nHost: shop.example\r\n" + platform_name("request_id") + ": " + id
        + "\r\n" + platform_name("deadline") + ": 15000\r\nAuthorization: Bearer key-1\r\n";
    if (method == "POST")
        text += "Content-Length: " + std::to_string(body_bytes) + "\r\n";
    return text + "\r\n";
}

bool has_trouble()
{
    auto const* value = std::getenv("TROUBLE"); // NOLINT(concurrency-mt-unsafe): before any thread
    return value == nullptr || std::string(value) != "0";
}

std::string make_folder()
{
    auto const path = std::filesystem::temp_directory_path() / ("shedhill-review-" + std::to_string(getpid()));
    std::filesystem::create_directories(path);
    return path.string();
}

} // namespace shedhill::review
