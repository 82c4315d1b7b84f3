/** Experiment: maintenance waves and moves of workers between pools, under virtual time. */
package org.quetzalscale.standin.experiment.maintenance;
