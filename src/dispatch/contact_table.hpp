/** @file Which entry hosts are in touch with the owner. */
#pragma once

#include "rattan/id_type.hpp"
#include "rattan/unit_type.hpp"

#include <map>

namespace rattan::dispatch {

/**
 * When the owner last heard from each entry host. The record of a host that was
 * removed or cut off may stay in the store for a while, so calls go only to
 * hosts that are in touch. Time for which the owner itself stood still does not
 * count as silence of the others.
 */
class contact_table {
public:
    /** An ownership begins: every host has to be heard from again. */
    void begin(mono_time now);

    /** A heartbeat of a host has arrived. */
    void heard_from(const host_id& host, mono_time now);

    /** The record of a host was written, so the host is not gone. */
    void registered(const host_id& host, mono_time now);

    /** Has to be called regularly, several times a second. */
    void check(mono_time now);

    /** Tells whether calls may be sent to a host. */
    [[nodiscard]] bool in_touch(const host_id& host, mono_time now) const;

    /**
     * Tells whether a host has been silent for so long that its record is
     * removed. A host that is still alive registers again.
     */
    [[nodiscard]] bool gone(const host_id& host, mono_time now) const;

    void remove(const host_id& host) { hosts_.erase(host); }

private:
    struct contact {
        mono_time heard_at{};      ///< Last heartbeat; default: none.
        mono_time registered_at{}; ///< Last record; default: none.
    };

    std::map<host_id, contact> hosts_;
    mono_time begun_at_{};
    mono_time checked_at_{};
};

} // namespace rattan::dispatch
