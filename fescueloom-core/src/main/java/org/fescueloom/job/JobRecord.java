package org.fescueloom.job;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/**
 * Represents the payload of one record of the {@code jobs} stream.
 *
 * <p>The JSON form has a field {@code type} with one of the names declared here, and a field {@code
 * version}; see {@link JobRecordCodec}.
 */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = JobAccepted.class, name = "job-accepted"),
    @JsonSubTypes.Type(value = GangPlaced.class, name = "gang-placed"),
    @JsonSubTypes.Type(value = GangEnded.class, name = "gang-ended"),
    @JsonSubTypes.Type(value = JobCancelled.class, name = "job-cancelled"),
    @JsonSubTypes.Type(value = PlannerStarted.class, name = "planner-started"),
    @JsonSubTypes.Type(value = JobSnapshot.class, name = "job-snapshot")
})
public sealed interface JobRecord
        permits JobAccepted, GangPlaced, GangEnded, JobCancelled, PlannerStarted, JobSnapshot {}
