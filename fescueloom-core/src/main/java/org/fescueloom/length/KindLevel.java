package org.fescueloom.length;

/** Levels of the hierarchy of kinds, from general to specific. */
enum KindLevel {
    /** All runs of a queue. */
    QUEUE(0.5, 8) {
        @Override
        RunKind keyOf(RunKind kind) {
            return new RunKind(kind.queue(), "", "", 0, 0, false);
        }
    },
    /** Runs of a queue with the same image. */
    IMAGE(2, 12) {
        @Override
        RunKind keyOf(RunKind kind) {
            return new RunKind(kind.queue(), kind.image(), "", 0, 0, false);
        }
    },
    /** Runs of a queue with the same image and the same resources. */
    RESOURCES(2, 12) {
        @Override
        RunKind keyOf(RunKind kind) {
            return new RunKind(
                    kind.queue(),
                    kind.image(),
                    "",
                    kind.cpuMillis(),
                    kind.accelerators(),
                    kind.gang());
        }
    },
    /** Runs of one customer with all of these in common. */
    CUSTOMER(2, 12) {
        @Override
        RunKind keyOf(RunKind kind) {
            return kind;
        }
    };

    /** The number of levels. */
    static final int COUNT = values().length;

    private final double centreWeight;
    private final double shapeWeight;

    KindLevel(double centreWeight, double shapeWeight) {
        this.centreWeight = centreWeight;
        this.shapeWeight = shapeWeight;
    }

    /**
     * Returns the key of a kind at this level: the kind without the fields that are distinguished
     * only at more specific levels.
     *
     * @param kind the kind, not null
     * @return the key, never null; unique within this level only
     */
    abstract RunKind keyOf(RunKind kind);

    /**
     * Returns the weight of the centre that the parent predicts. The queue has a small one, so that
     * estimates that are wrong by a constant factor are soon forgotten.
     *
     * @return the weight in ends, positive
     */
    double centreWeight() {
        return centreWeight;
    }

    /**
     * Returns the weight of the distribution of ratios of the parent. It is larger than that of the
     * centre, because a distribution needs more ends than its centre.
     *
     * @return the weight in ends, positive
     */
    double shapeWeight() {
        return shapeWeight;
    }
}
