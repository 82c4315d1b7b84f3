package org.quetzalscale.standin;

import java.util.concurrent.CountDownLatch;

/** Keeps a server of the stand-ins running in the foreground of its process. */
public final class Foreground {
    private Foreground() {}

    /** Prints the line by which a starting process tells its port. */
    public static void announce(String name, int port) {
        System.out.println("listening " + name + " " + port);
        System.out.flush();
    }

    /** Waits until the process is asked to end, and then stops the server. */
    public static void await(Runnable stop) {
        CountDownLatch ended = new CountDownLatch(1);
        Runtime.getRuntime()
                .addShutdownHook(
                        new Thread(
                                () -> {
                                    stop.run();
                                    ended.countDown();
                                },
                                "shutdown"));
        try {
            ended.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
