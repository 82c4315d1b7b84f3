package org.quetzalscale.daemon.settings;

/** Forms of a setting's value. */
enum ValueType {
    /** A whole number within a range. */
    NUMBER,
    /** An IP number, without a port. */
    IP,
    /** An IP number and port, or empty. */
    ADDRESS,
    /** A name of a-z, 0-9, '-' and '.'. */
    NAME,
    /** One of a list of words. */
    WORD,
    /** Any text of a length within a range. */
    TEXT
}
