/** Port to the platform's transactional table, and a table in memory. */
package org.quetzalscale.core.table;
