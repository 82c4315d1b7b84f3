/** Interface to the platform's transactional table, and an in-memory implementation. */
package org.quetzalscale.core.table;
