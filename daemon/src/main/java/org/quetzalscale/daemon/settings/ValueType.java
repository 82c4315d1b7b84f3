package org.quetzalscale.daemon.settings;

/** Types of setting values. */
enum ValueType {
    /** A whole number within a range. */
    NUMBER,
    /** An IP address, without a port. */
    IP,
    /** An IP address and port, or empty. */
    ADDRESS,
    /** A name of a-z, 0-9, '-' and '.'. */
    NAME,
    /** One of a list of words. */
    WORD,
    /** Printable ASCII text without spaces, of a length within a range. */
    TEXT
}
