/** @file Failures. Each has a type; the text is for people only. */
#pragma once

#include <stdexcept>
#include <string>

namespace rattan {

/** Base of every failure of the system. */
class error : public std::runtime_error {
public:
    using std::runtime_error::runtime_error;
};

/** A settings or declarations file can't be used. */
class config_error : public error {
public:
    /**
     * @param file The file's path.
     * @param line Line in the file, from 1; 0 when the whole file is meant.
     * @param field Path of the field, as in `teams.hooks.limit`.
     * @param mend What to write instead.
     */
    config_error(const std::string& file, int line, const std::string& field,
                 const std::string& mend)
        : error(file + ":" + std::to_string(line) + ": " + field + ": " +
                mend) {}
};

/** Bytes from outside do not have the form that was agreed. */
class decode_error : public error {
public:
    using error::error;
};

/** The operating system refused a socket, an address or a limit. */
class system_error : public error {
public:
    using error::error;
};

/** An outside service or another process can't be reached in time. */
class unreachable_error : public error {
public:
    using error::error;
};

/** An operator's command was refused. */
class command_error : public error {
public:
    using error::error;
};

} // namespace rattan
