// Package request turns a client's request into a job: the configuration text
// says what each kind of job needs, the request names the kind and carries the
// input.
//
// The same client account and request id always give the same job id, so that a
// request that is sent again, to whichever host, is the same job.
package request
