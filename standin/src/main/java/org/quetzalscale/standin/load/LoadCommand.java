package org.quetzalscale.standin.load;

import com.github.rvesse.airline.annotations.Command;

/** Sends requests by a schedule and reports how they went. */
@Command(name = "load", description = "Sends requests by a schedule and reports how they went")
public final class LoadCommand implements Runnable {
    @Override
    public void run() {
        System.err.println("not built yet");
    }
}
