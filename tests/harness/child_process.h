// SPDX-License-Identifier: BSD-2-Clause
// Starts and controls a process for a test. The process is killed when its object is destroyed.
#pragma once

#include "base/error.h"

#include <csignal>
#include <cstdint>
#include <map>
#include <string>
#include <sys/types.h>
#include <vector>

namespace shedhill::harness {

class child_process {
public:
    // Starts the program and reads its first line: "listening NAME=PORT ...", or a line of a structured log that names
    // the ports. Later output is never read.
    static result<child_process> start(std::string const& program, std::vector<std::string> const& arguments);
    // As start(), but the output is appended to the file.
    static result<child_process> start_logged(
        std::string const& program, std::vector<std::string> const& arguments, std::string const& log_path);
    // Runs the program to its end, appends its standard output to output and returns its exit code.
    static result<int> run(std::string const& program, std::vector<std::string> const& arguments, std::string& output);

    child_process(child_process&& other) noexcept;
    child_process& operator=(child_process&& other) noexcept;
    child_process(child_process const&) = delete;
    child_process& operator=(child_process const&) = delete;
    ~child_process();

    // Returns "127.0.0.1:PORT" for the address of this name. Throws std::out_of_range if there is none.
    [[nodiscard]] std::string address(std::string const& name) const;
    void send_signal(int signal) const;
    // Waits up to 30 seconds without blocking other fibers. Returns false if the process is still running then.
    bool wait_for_end(int& exit_code);
    // Tells whether the process has ended.
    bool has_ended();
    void kill();
    // Returns the greatest resident memory of the process so far, in KiB; 0 if it has ended.
    [[nodiscard]] std::int64_t peak_memory_kib() const;
    [[nodiscard]] bool is_running() const { return m_id > 0; }

private:
    child_process() = default;
    // Stores the ports that the line names.
    result<void> read_addresses(std::string const& program, std::string const& line);

    pid_t m_id { 0 };
    std::map<std::string, std::string> m_ports;
};

// Returns the path of a program of this build.
std::string program_path(std::string const& name);

} // namespace shedhill::harness
